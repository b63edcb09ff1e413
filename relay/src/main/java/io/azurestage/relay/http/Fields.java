package io.azurestage.relay.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Utilities for lists of end-to-end header fields. */
public final class Fields {
    private static final List<String> HOP_BY_HOP =
            List.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** Skips validation, for fields that the parser of a received message has validated already. */
    static final HttpHeadersFactory UNVALIDATED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Fields() {}

    /**
     * Copies the fields that are forwarded to the next hop.
     *
     * @param headers header of a received message
     * @return the end-to-end fields in their original order
     */
    public static List<Field> endToEnd(HttpHeaders headers) {
        List<String> named = namedByConnection(headers);
        List<Field> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> e : headers) {
            if (!contains(HOP_BY_HOP, e.getKey()) && !contains(named, e.getKey())) {
                fields.add(new Field(e.getKey(), e.getValue()));
            }
        }
        return fields;
    }

    private static List<String> namedByConnection(HttpHeaders headers) {
        String first = headers.get(HttpHeaderNames.CONNECTION);
        if (first == null) {
            return List.of();
        }
        List<String> named = new ArrayList<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.trim());
            }
        }
        return named;
    }

    /** Compares names without lower-casing them: those of different length differ at once. */
    private static boolean contains(List<String> names, String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the first value of a field.
     *
     * @param fields fields to search
     * @param name field name, matched without regard to case
     * @return the value, or empty if there is no such field
     */
    public static Optional<String> first(List<Field> fields, String name) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                return Optional.of(f.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Reports whether fields can be written as header lines: names are tokens, and values have no
     * control characters but tabs (RFC 9110, section 5).
     *
     * @param fields fields from a source that does not check them, such as another node
     * @return whether all fields are valid
     */
    public static boolean areValid(List<Field> fields) {
        for (Field f : fields) {
            if (f.name().isEmpty()
                    || HttpHeaderValidationUtil.validateToken(f.name()) >= 0
                    || HttpHeaderValidationUtil.validateValidHeaderValue(f.value()) >= 0) {
                return false;
            }
        }
        return true;
    }
}
