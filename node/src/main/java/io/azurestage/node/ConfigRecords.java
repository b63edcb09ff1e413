package io.azurestage.node;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.core.spread.ConfigRecord;

/** Converts between the configuration record of the store and the one that nodes exchange. */
final class ConfigRecords {
    private ConfigRecords() {}

    static ConfigRecord fromStore(AcceptedConfig accepted) {
        return new ConfigRecord(
                accepted.number(),
                accepted.changeId(),
                accepted.author(),
                accepted.acceptedAt(),
                accepted.config().toJson());
    }

    static AcceptedConfig toStore(ConfigRecord record) {
        return new AcceptedConfig(
                record.number(),
                record.changeId(),
                record.author(),
                record.acceptedAt(),
                Azurestage.parse(record.document()));
    }
}
