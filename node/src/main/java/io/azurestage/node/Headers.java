package io.azurestage.node;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Names of header fields, and the rule for which fields a node forwards. */
final class Headers {
    static final String SERVICE = "Azurestage-Service";
    static final String PARTNER = "Azurestage-Partner";
    static final String DEADLINE_MS = "Azurestage-Deadline-Ms";
    static final String CLASS = "Azurestage-Class";
    static final String CONTEXT = "Azurestage-Context";
    static final String ANSWER = "Azurestage-Answer";
    static final String REQUEST_ID = "Azurestage-Request-Id";
    static final String RETRY_AFTER_MS = "Azurestage-Retry-After-Ms";
    static final String REFUSAL = "Azurestage-Refusal";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final String OWN_PREFIX = "azurestage-";
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "content-length",
                    "expect",
                    "http2-settings");

    private Headers() {}

    /** Returns the end-to-end fields, without hop-by-hop fields and those of the mesh itself. */
    static HttpFields endToEnd(HttpFields in, boolean keepAuthorization) {
        HttpFields.Mutable out = HttpFields.build();
        for (HttpField f : in) {
            String name = f.getName().toLowerCase(Locale.ROOT);
            boolean omitted =
                    HOP_BY_HOP.contains(name)
                            || name.startsWith(OWN_PREFIX)
                            || (name.equals("authorization") && !keepAuthorization);
            if (!omitted) {
                out.add(f);
            }
        }
        return out.asImmutable();
    }
}
