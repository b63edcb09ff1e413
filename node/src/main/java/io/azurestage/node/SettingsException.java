package io.azurestage.node;

import java.util.List;

/** Invalid settings. The message names each field, what is expected and how to correct it. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param source file the settings came from
     * @param problems one description for each invalid field
     */
    public SettingsException(String source, List<String> problems) {
        super("settings " + source + " refused: " + String.join("; ", problems));
    }
}
