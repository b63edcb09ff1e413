package io.azurestage.config;

/**
 * A problem found in a configuration.
 *
 * @param path JSON path of the fault, such as {@code $.partners.hire-house.share}
 * @param message what is wrong
 * @param remedy what to do about it
 */
public record ConfigProblem(String path, String message, String remedy) {

    /** Returns path, message and remedy in one line. */
    @Override
    public String toString() {
        return path + ": " + message + "; " + remedy;
    }
}
