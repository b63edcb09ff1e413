package io.azurestage.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Identifies the content of a request, so that a ticket cannot be used for another one. */
final class Fingerprints {
    private Fingerprints() {}

    static long of(Call call) {
        try {
            MessageDigest d = MessageDigest.getInstance("SHA-256");
            d.update((call.method() + " " + call.target()).getBytes(StandardCharsets.UTF_8));
            d.update((byte) 0);
            d.update(call.body());
            return ByteBuffer.wrap(d.digest()).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
