package io.azurestage.relay.http;

/**
 * An HTTP header field.
 *
 * @param name field name, in the case in which it was received
 * @param value field value
 */
public record Field(String name, String value) {}
