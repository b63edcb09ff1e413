package io.azurestage.core.once;

import java.util.List;
import java.util.Map;

/**
 * A whole answer kept for repeats.
 *
 * @param status HTTP status
 * @param headers header fields of the answer
 * @param body body; callers must not change it
 */
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
