package io.azurestage.bench.standin;

import java.util.Map;

/**
 * A downstream call of a stand-in backend.
 *
 * @param service service to call
 * @param method HTTP method of the incoming request
 * @param path path of the incoming request
 * @param headers headers propagated from the incoming request: request key, partner, class of work
 *     and azurestage context
 * @param body payload of the incoming request
 */
public record DownstreamCall(
        String service, String method, String path, Map<String, String> headers, byte[] body) {}
