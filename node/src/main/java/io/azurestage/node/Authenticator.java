package io.azurestage.node;

import io.azurestage.config.MeshConfig;
import io.azurestage.config.Partner;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Checks who a caller or an operator is. */
final class Authenticator {
    private static final String BEARER = "Bearer ";

    private Authenticator() {}

    /** Returns the refusal of a caller that is not the partner it names, or empty. */
    static Optional<Refusal> refusal(MeshConfig config, HttpFields headers) {
        String name = headers.get(Headers.PARTNER);
        if (name == null) {
            return Optional.of(Refusal.notRun(RefusalKind.UNAUTHENTICATED, "no partner is named"));
        }
        Optional<Partner> partner = config.partner(name);
        if (partner.isEmpty()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.UNKNOWN_PARTNER, "the configuration has no such partner"));
        }
        if (!isBearer(headers, partner.get().credentialSha256())) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.UNAUTHENTICATED,
                            "the credential is missing or is not that of the partner"));
        }
        return Optional.empty();
    }

    /** Reports whether the request carries the bearer token with this hash. */
    static boolean isBearer(HttpFields headers, String sha256) {
        String value = headers.get(HttpHeader.AUTHORIZATION);
        if (value == null || !value.startsWith(BEARER) || sha256.isEmpty()) {
            return false;
        }
        byte[] token = value.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(sha256(token), HexFormat.of().parseHex(sha256));
    }

    private static byte[] sha256(byte[] data) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(data);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
