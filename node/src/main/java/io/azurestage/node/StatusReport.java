package io.azurestage.node;

import io.azurestage.core.admission.PartnerClass;
import io.azurestage.core.membership.Member;
import io.azurestage.core.spread.ConfigRecord;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Builds the status response of the admin endpoint as maps for JSON serialization. */
final class StatusReport {
    private final NodeSettings mSettings;
    private final DataPlane mData;
    private final ControlPlane mControl;

    StatusReport(NodeSettings settings, DataPlane data, ControlPlane control) {
        mSettings = settings;
        mData = data;
        mControl = control;
    }

    Map<String, Object> status(boolean withMembers) {
        AdmissionLoop.Status admission = mData.admission().status();
        Optional<ConfigRecord> config = mControl.mesh().config();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nodeId", mSettings.nodeId());
        m.put("incarnation", mData.identity().incarnation());
        m.put("service", mSettings.service());
        m.put("dataCentre", mSettings.dataCentre());
        m.put("region", mSettings.region());
        m.put("state", mControl.mesh().self().state().name());
        m.put("notReady", mControl.notReadyReason());
        m.put("configNumber", config.map(ConfigRecord::number).orElse(0L));
        m.put("configChangeId", config.map(ConfigRecord::changeId).orElse(""));
        m.put("limit", admission.limit());
        m.put("inFlight", admission.inFlight());
        m.put("queued", admission.queued());
        m.put("inProgress", mData.inProgress());
        m.put("fractions", fractions());
        m.put("lent", lent());
        if (withMembers) {
            m.put("members", members());
        }
        return m;
    }

    private List<Map<String, Object>> fractions() {
        return mData.admission().fractions().entrySet().stream()
                .sorted(Comparator.comparing(e -> e.getKey().toString()))
                .map(e -> fraction(e.getKey(), e.getValue()))
                .toList();
    }

    private static Map<String, Object> fraction(PartnerClass key, double fraction) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("partner", key.partner());
        m.put("workClass", key.workClass().name());
        m.put("fraction", fraction);
        return m;
    }

    private List<Map<String, Object>> lent() {
        return mData.admission().loans().stream()
                .map(
                        l -> {
                            Map<String, Object> m = new LinkedHashMap<>();
                            m.put("lender", l.lender());
                            m.put("borrower", l.borrower());
                            m.put("workClass", l.workClass().name());
                            m.put("slots", l.slots());
                            return m;
                        })
                .toList();
    }

    private List<Map<String, Object>> members() {
        return mControl.mesh().members().stream()
                .sorted(Comparator.comparing(Member::nodeId))
                .map(StatusReport::member)
                .toList();
    }

    private static Map<String, Object> member(Member m) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("nodeId", m.nodeId());
        out.put("incarnation", m.node().incarnation());
        out.put("service", m.service());
        out.put("dataCentre", m.location().dataCentre());
        out.put("region", m.location().region());
        out.put("state", m.state().name());
        out.put("liveness", m.liveness().name());
        out.put("ingress", m.addresses().ingress());
        out.put("admin", m.addresses().admin());
        return out;
    }
}
