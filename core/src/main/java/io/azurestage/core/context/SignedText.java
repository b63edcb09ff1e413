package io.azurestage.core.context;

import java.util.Base64;
import java.util.Optional;

/**
 * Encodes data and its authentication code as a header value: {@code
 * base64url(data).base64url(code)}.
 */
public final class SignedText {
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private SignedText() {}

    /**
     * Signs and encodes data.
     *
     * @param data the data to sign
     * @param signer holds the key
     * @return a header value
     */
    public static String encode(byte[] data, Signer signer) {
        return ENCODER.encodeToString(data) + "." + ENCODER.encodeToString(signer.sign(data));
    }

    /**
     * Decodes a header value without verifying its authentication code.
     *
     * @param text the header value
     * @return data and code, or empty if the text is malformed
     */
    public static Optional<Parts> decode(String text) {
        int dot = text.indexOf('.');
        if (dot < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new Parts(
                            DECODER.decode(text.substring(0, dot)),
                            DECODER.decode(text.substring(dot + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decoded data with its authentication code.
     *
     * @param data the signed data
     * @param code the authentication code, not yet verified
     */
    public record Parts(byte[] data, byte[] code) {

        /**
         * Verifies the authentication code.
         *
         * @param signer holds the key
         * @return true if the code matches the data
         */
        public boolean verify(Signer signer) {
            return signer.verify(data, code);
        }
    }
}
