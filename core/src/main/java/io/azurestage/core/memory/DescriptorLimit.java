package io.azurestage.core.memory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The number of descriptors that a process may open.
 *
 * @param descriptors largest number of open descriptors
 */
public record DescriptorLimit(int descriptors) {
    /** Assumed where the system states no limit, or a larger one. */
    private static final int MAX_DESCRIPTORS = 4_096;

    /** Descriptors for files, listeners and the process itself. */
    private static final int RESERVED = 200;

    /** Connections that clients may open whatever the limit is. */
    private static final int MIN_FOR_CLIENTS = 64;

    private static final String ROW = "Max open files";

    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if it is not positive
     */
    public DescriptorLimit {
        if (descriptors < 1) {
            throw new IllegalArgumentException("descriptors must be 1 or more, not " + descriptors);
        }
    }

    /**
     * Reads the limit of this process.
     *
     * @return the limit, at most 4,096
     */
    public static DescriptorLimit ofProcess() {
        try {
            return parse(Files.readAllLines(Path.of("/proc/self/limits")));
        } catch (IOException e) {
            // Not every system has this file.
            return new DescriptorLimit(MAX_DESCRIPTORS);
        }
    }

    /** Reads the hard limit, which the virtual machine uses, from a table of limits. */
    static DescriptorLimit parse(List<String> lines) {
        return new DescriptorLimit(
                lines.stream()
                        .filter(l -> l.startsWith(ROW))
                        .map(l -> l.substring(ROW.length()).trim().split("\\s+"))
                        .filter(columns -> columns.length > 1 && columns[1].matches("\\d{1,9}"))
                        .mapToInt(columns -> Integer.parseInt(columns[1]))
                        .map(limit -> Math.min(MAX_DESCRIPTORS, limit))
                        .findFirst()
                        .orElse(MAX_DESCRIPTORS));
    }

    /**
     * Returns how many descriptors connections of clients may take. Connections to backend servers
     * and other nodes have the other half.
     *
     * @return a number of connections, at least 64
     */
    public int forClients() {
        return Math.max(MIN_FOR_CLIENTS, (descriptors - RESERVED) / 2);
    }
}
