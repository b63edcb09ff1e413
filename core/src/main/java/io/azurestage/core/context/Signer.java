package io.azurestage.core.context;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** HMAC-SHA256 truncated to 16 bytes under one key. Thread-safe. */
public final class Signer {
    /** Length of an authentication code, in bytes. */
    public static final int CODE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_BYTES = 16;

    private final ThreadLocal<Mac> mMac;

    /**
     * Creates a signer.
     *
     * @param key secret that all nodes share, at least 16 bytes
     */
    public Signer(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "the key has " + key.length + " bytes; set one of at least 16 bytes");
        }
        SecretKeySpec spec = new SecretKeySpec(key.clone(), ALGORITHM);
        mMac = ThreadLocal.withInitial(() -> newMac(spec));
    }

    /**
     * Signs data.
     *
     * @param data what to authenticate
     * @return 16 bytes
     */
    public byte[] sign(byte[] data) {
        return Arrays.copyOf(mMac.get().doFinal(data), CODE_BYTES);
    }

    /**
     * Checks an authentication code in constant time.
     *
     * @param data what was signed
     * @param code the code that came with it
     * @return true if the code belongs to the data under this key
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
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
