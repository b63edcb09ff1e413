package io.azurestage.core.once;

import java.util.List;
import java.util.Map;

/**
 * A complete answer, stored to be replayed for duplicates of the request.
 *
 * @param status HTTP status
 * @param headers header fields of the answer
 * @param body body; callers must not change it
 */
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
