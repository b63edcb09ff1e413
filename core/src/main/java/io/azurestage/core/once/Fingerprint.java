package io.azurestage.core.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hash of a request's content, used to detect a ticket that is reused for another request. */
public final class Fingerprint {

    private Fingerprint() {}

    /**
     * Computes the fingerprint of a request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param body complete body, may be empty
     * @return the first 64 bits of the SHA-256 hash of the arguments
     */
    public static long of(String method, String path, byte[] body) {
        MessageDigest d = sha256();
        add(d, method.getBytes(StandardCharsets.UTF_8));
        add(d, path.getBytes(StandardCharsets.UTF_8));
        add(d, body);
        return ByteBuffer.wrap(d.digest()).getLong();
    }

    /** Adds a part with a length prefix, which distinguishes "a" + "bc" from "ab" + "c". */
    private static void add(MessageDigest d, byte[] part) {
        d.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
        d.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available; every Java platform must support it", e);
        }
    }
}
