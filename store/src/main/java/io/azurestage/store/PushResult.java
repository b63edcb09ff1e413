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
     * @param difference change from the previous version
     * @param superseded true if another push has already replaced it
     */
    record Accepted(AcceptedConfig record, ConfigDiff difference, boolean superseded)
            implements PushResult {}

    /**
     * The push was rejected, because another version than expected was current or another push was
     * accepted first.
     *
     * @param current the current version, empty if the store holds none
     * @param difference change from the current version to the rejected one
     * @param remedy advice for the operator
     */
    record Conflict(Optional<AcceptedConfig> current, ConfigDiff difference, String remedy)
            implements PushResult {}

    /**
     * The configuration is invalid; nothing was sent to the store.
     *
     * @param problems at least one problem
     */
    record Invalid(List<ConfigProblem> problems) implements PushResult {}

    /**
     * The response was lost, and reading back did not show whether the push was accepted. It may
     * still take effect.
     *
     * @param attempted the version that was sent
     * @param reason cause of the failure
     * @param remedy advice for the operator
     */
    record Unknown(AcceptedConfig attempted, String reason, String remedy) implements PushResult {}

    /**
     * The store failed before the push could take effect; it was not accepted.
     *
     * @param reason cause of the failure
     * @param remedy advice for the operator
     */
    record Unavailable(String reason, String remedy) implements PushResult {}
}
