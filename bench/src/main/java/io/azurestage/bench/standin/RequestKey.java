package io.azurestage.bench.standin;

import org.eclipse.jetty.http.HttpFields;

/**
 * Identifies a request in the work counts of the stand-in backends.
 *
 * @param id logical request of a caller, the same for all its attempts; must be executed at most
 *     once if it is not idempotent
 * @param attempt number of the caller's own attempt, counted from 0
 * @param partner partner name
 * @param workClass class of work
 */
public record RequestKey(String id, int attempt, String partner, String workClass) {
    /** Header with the id and the attempt, for example {@code 17.0}. */
    public static final String KEY_HEADER = "X-Request-Key";

    /** Header with the partner name. */
    public static final String PARTNER_HEADER = "X-Request-Partner";

    /** Header with the class of work. */
    public static final String CLASS_HEADER = "X-Request-Class";

    /**
     * Formats the key as the value of {@link #KEY_HEADER}.
     *
     * @return id and attempt, separated by a dot
     */
    public String text() {
        return id + "." + attempt;
    }

    static RequestKey read(HttpFields headers) {
        String text = headers.get(KEY_HEADER);
        String partner = orEmpty(headers.get(PARTNER_HEADER));
        String workClass = orEmpty(headers.get(CLASS_HEADER));
        int dot = text == null ? -1 : text.lastIndexOf('.');
        if (dot < 0) {
            return new RequestKey(orEmpty(text), 0, partner, workClass);
        }
        try {
            int attempt = Integer.parseInt(text.substring(dot + 1));
            return new RequestKey(text.substring(0, dot), attempt, partner, workClass);
        } catch (NumberFormatException e) {
            return new RequestKey(text, 0, partner, workClass);
        }
    }

    private static String orEmpty(String value) {
        return value == null ? "" : value;
    }
}
