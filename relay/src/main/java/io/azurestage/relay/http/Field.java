package io.azurestage.relay.http;

/**
 * A header field.
 *
 * @param name name as sent
 * @param value value
 */
public record Field(String name, String value) {}
