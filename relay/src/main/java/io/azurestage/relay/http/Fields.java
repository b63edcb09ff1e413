package io.azurestage.relay.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Lists of header fields, without those that concern one connection only. */
public final class Fields {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
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

    private Fields() {}

    /**
     * Copies the fields that are passed on to the next hop.
     *
     * @param headers a message's header
     * @return the end-to-end fields in their order
     */
    public static List<Field> endToEnd(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Field> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> e : headers) {
            String name = e.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
                fields.add(new Field(e.getKey(), e.getValue()));
            }
        }
        return fields;
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
