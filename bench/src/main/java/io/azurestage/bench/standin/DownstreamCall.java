package io.azurestage.bench.standin;

import java.util.Map;

/**
 * A downstream call of a stand-in backend.
 *
 * @param service next service
 * @param method HTTP method of the request in work
 * @param path path of the request in work
 * @param headers headers to copy: the request key and the azurestage context
 * @param body payload of the request in work
 */
public record DownstreamCall(
        String service, String method, String path, Map<String, String> headers, byte[] body) {}
