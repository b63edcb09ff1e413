package io.azurestage.core.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Identifies the content of a request, to detect one ticket that is used for two requests. */
public final class Fingerprint {

    private Fingerprint() {}

    /**
     * Computes the fingerprint of a request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param body whole body, may be empty
     * @return the first 64 bits of a SHA-256 hash
     */
    public static long of(String method, String path, byte[] body) {
        MessageDigest d = sha256();
        add(d, method.getBytes(StandardCharsets.UTF_8));
        add(d, path.getBytes(StandardCharsets.UTF_8));
        add(d, body);
        return ByteBuffer.wrap(d.digest()).getLong();
    }

    /** The length prefix keeps "a" + "bc" apart from "ab" + "c". */
    private static void add(MessageDigest d, byte[] part) {
        d.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        d.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must offer SHA-256", e);
        }
    }
}
