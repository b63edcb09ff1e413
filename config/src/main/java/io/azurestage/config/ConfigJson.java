package io.azurestage.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/** Converts configurations to and from canonical JSON. */
final class ConfigJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ConfigJson() {}

    static String print(MeshConfig c) {
        try {
            return MAPPER.writeValueAsString(document(c)) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration does not print as JSON", e);
        }
    }

    static MeshConfig parse(String json) throws JsonProcessingException {
        Document d = MAPPER.readValue(json, Document.class);
        SortedMap<String, Partner> partners = new TreeMap<>();
        d.partners()
                .forEach(
                        (name, p) ->
                                partners.put(
                                        name,
                                        new Partner(
                                                name,
                                                p.share(),
                                                p.floor(),
                                                p.priority(),
                                                p.credentialSha256())));
        SortedMap<String, ServiceSpec> services = new TreeMap<>();
        d.services().forEach((name, s) -> services.put(name, service(name, s)));
        return new MeshConfig(partners, services, d.retryAllowance());
    }

    private static ServiceSpec service(String name, ServiceDocument s) {
        List<Operation> operations =
                s.operations().stream()
                        .map(
                                o ->
                                        new Operation(
                                                o.method(),
                                                o.pathPrefix(),
                                                WorkClass.valueOf(
                                                        o.workClass().toUpperCase(Locale.ROOT)),
                                                o.idempotent()))
                        .toList();
        return new ServiceSpec(name, operations);
    }

    private static Document document(MeshConfig c) {
        SortedMap<String, PartnerDocument> partners = new TreeMap<>();
        c.partners()
                .forEach(
                        (name, p) ->
                                partners.put(
                                        name,
                                        new PartnerDocument(
                                                p.share(),
                                                p.floor(),
                                                p.priority(),
                                                p.credentialSha256())));
        SortedMap<String, ServiceDocument> services = new TreeMap<>();
        c.services()
                .forEach(
                        (name, s) ->
                                services.put(
                                        name,
                                        new ServiceDocument(
                                                s.operations().stream()
                                                        .map(ConfigJson::operation)
                                                        .toList())));
        return new Document(partners, services, c.retryAllowance());
    }

    private static OperationDocument operation(Operation o) {
        return new OperationDocument(
                o.method(),
                o.pathPrefix(),
                o.workClass().name().toLowerCase(Locale.ROOT),
                o.idempotent());
    }

    private record Document(
            SortedMap<String, PartnerDocument> partners,
            SortedMap<String, ServiceDocument> services,
            int retryAllowance) {}

    private record PartnerDocument(int share, int floor, int priority, String credentialSha256) {}

    private record ServiceDocument(List<OperationDocument> operations) {}

    private record OperationDocument(
            String method, String pathPrefix, String workClass, boolean idempotent) {}
}
