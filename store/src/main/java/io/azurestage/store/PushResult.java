package io.azurestage.store;

import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigDiff;
import io.azurestage.config.ConfigProblem;
import java.util.List;
import java.util.Optional;

/** Outcome of publishing a configuration. */
public sealed interface PushResult {

    /**
     * The configuration was accepted.
     *
     * @param record the accepted version
     * @param difference change from the version before
     * @param superseded true if another push already followed
     */
    record Accepted(AcceptedConfig record, ConfigDiff difference, boolean superseded)
            implements PushResult {}

    /**
     * Another version was current or won; nothing of this push was accepted.
     *
     * @param current the current version, empty if the store holds none
     * @param difference change from the current version to the refused one
     * @param remedy what to do
     */
    record Conflict(Optional<AcceptedConfig> current, ConfigDiff difference, String remedy)
            implements PushResult {}

    /**
     * The configuration has problems; the store was not asked.
     *
     * @param problems at least one problem
     */
    record Invalid(List<ConfigProblem> problems) implements PushResult {}

    /**
     * The answer was lost, and reading back did not settle whether the push was accepted. It may
     * still be.
     *
     * @param attempted the version that was sent
     * @param reason what happened
     * @param remedy what to do
     */
    record Unknown(AcceptedConfig attempted, String reason, String remedy) implements PushResult {}

    /**
     * The store failed before the push could take effect; nothing of it was accepted.
     *
     * @param reason what happened
     * @param remedy what to do
     */
    record Unavailable(String reason, String remedy) implements PushResult {}
}
