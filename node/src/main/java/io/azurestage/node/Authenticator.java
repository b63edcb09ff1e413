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

/** Authenticates callers and operators. */
final class Authenticator {
    private static final String BEARER = "Bearer ";

    private Authenticator() {}

    /** Returns a refusal unless the caller has the credential of the partner it names. */
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
        if (!hasBearerToken(headers, partner.get().credentialSha256())) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.UNAUTHENTICATED,
                            "the credential is missing or is not that of the partner"));
        }
        return Optional.empty();
    }

    /** Reports whether the request has a bearer token with this SHA-256 hash. */
    static boolean hasBearerToken(HttpFields headers, String sha256) {
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
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
