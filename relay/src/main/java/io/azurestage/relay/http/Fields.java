package io.azurestage.relay.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Lists of header fields, without those that concern one connection only. */
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

    /** For headers of fields that were read from a message, whose parser has checked them. */
    static final HttpHeadersFactory CHECKED_BEFORE =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private Fields() {}

    /**
     * Copies the fields that are passed on to the next hop.
     *
     * @param headers a message's header
     * @return the end-to-end fields in their order
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

    /** Names of other lengths differ at once, so no name has to be changed to lower case. */
    private static boolean contains(List<String> names, String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds the first value of a field.
     *
     * @param fields the fields
     * @param name name in any case
     * @return the value, or empty
     */
    public static Optional<String> first(List<Field> fields, String name) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                return Optional.of(f.value());
            }
        }
        return Optional.empty();
    }
}
