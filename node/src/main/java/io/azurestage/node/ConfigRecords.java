package io.azurestage.node;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.core.spread.ConfigRecord;

/** Converts between the record of the store and the record that nodes exchange. */
final class ConfigRecords {
    private ConfigRecords() {}

    static ConfigRecord fromStore(AcceptedConfig a) {
        return new ConfigRecord(
                a.number(), a.changeId(), a.author(), a.acceptedAt(), a.config().toJson());
    }

    static AcceptedConfig toStore(ConfigRecord r) {
        return new AcceptedConfig(
                r.number(),
                r.changeId(),
                r.author(),
                r.acceptedAt(),
                Azurestage.parse(r.document()));
    }
}
