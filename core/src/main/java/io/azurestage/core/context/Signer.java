package io.azurestage.core.context;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Signs data with HMAC-SHA256, truncated to 16 bytes. Thread-safe. */
public final class Signer {
    /** Length of an authentication code in bytes. */
    public static final int CODE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;

    private final ThreadLocal<Mac> mMacs;

    /**
     * Creates a signer.
     *
     * @param key secret that all nodes share, at least 16 bytes
     */
    public Signer(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "the key has " + key.length + " bytes; it must have at least 16");
        }
        SecretKeySpec spec = new SecretKeySpec(key.clone(), ALGORITHM);
        mMacs = ThreadLocal.withInitial(() -> newMac(spec));
    }

    /**
     * Signs data.
     *
     * @param data the data to sign
     * @return the authentication code, {@link #CODE_BYTES} long
     */
    public byte[] sign(byte[] data) {
        return Arrays.copyOf(mMacs.get().doFinal(data), CODE_BYTES);
    }

    /**
     * Verifies an authentication code in constant time.
     *
     * @param data the signed data
     * @param code the authentication code to verify
     * @return true if the code matches the data and the key
     */
    public boolean verify(byte[] data, byte[] code) {
        return MessageDigest.isEqual(sign(data), code);
    }

    private static Mac newMac(SecretKeySpec spec) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(spec);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java platform does not support " + ALGORITHM, e);
        }
    }
}
