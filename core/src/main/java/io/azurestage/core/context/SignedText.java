package io.azurestage.core.context;

import java.util.Base64;
import java.util.Optional;

/** Signed bytes as a header value: {@code base64url(data).base64url(code)}. */
public final class SignedText {
    private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
    private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

    private SignedText() {}

    /**
     * Signs and encodes data.
     *
     * @param data what to send
     * @param signer holds the key
     * @return a header value
     */
    public static String encode(byte[] data, Signer signer) {
        return ENCODER.encodeToString(data) + "." + ENCODER.encodeToString(signer.sign(data));
    }

    /**
     * Decodes a header value without checking its code.
     *
     * @param text the header value
     * @return data and code, or empty if the text does not have this form
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
     * Data and the code that came with it.
     *
     * @param data the signed bytes
     * @param code the authentication code, not yet checked
     */
    public record Parts(byte[] data, byte[] code) {

        /**
         * Checks the code.
         *
         * @param signer holds the key
         * @return true if the code belongs to the data
         */
        public boolean verify(Signer signer) {
            return signer.verify(data, code);
        }
    }
}
