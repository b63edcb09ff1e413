package io.azurestage.node;

import java.util.List;

/** The settings are wrong. The message names each field, what is expected and the remedy. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param source file the settings came from
     * @param problems one line for each wrong field
     */
    public SettingsException(String source, List<String> problems) {
        super("settings " + source + " refused: " + String.join("; ", problems));
    }
}
