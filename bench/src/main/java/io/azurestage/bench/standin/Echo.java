package io.azurestage.bench.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Response format of the stand-in backends: one line for each service of the call chain, with its
 * name, the request key and the CRC-32 of the payload that it received.
 */
public final class Echo {
    private Echo() {}

    /** Result of comparing a response with the expected one. */
    public enum Check {
        /** Every service of the chain responded to this request. */
        WHOLE,
        /** A line is truncated, missing, unexpected or out of order. */
        PARTIAL,
        /** A service responded to another request or received another payload. */
        MISDELIVERED
    }

    static byte[] format(String service, RequestKey key, byte[] payload, List<byte[]> downstream) {
        StringBuilder text = new StringBuilder(line(service, key, payload));
        downstream.forEach(part -> text.append(new String(part, StandardCharsets.UTF_8)));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String line(String service, RequestKey key, byte[] payload) {
        return service + " " + key.text() + " " + checksum(payload) + "\n";
    }

    private static String checksum(byte[] payload) {
        CRC32 crc = new CRC32();
        crc.update(payload);
        return Long.toHexString(crc.getValue());
    }

    /**
     * Checks a response body.
     *
     * @param answer response body
     * @param services services of the whole chain, in the order of their lines
     * @param key key of the caller's request
     * @param payload payload of the caller's request
     * @return whether the response is complete and belongs to the request
     */
    public static Check check(
            byte[] answer, List<String> services, RequestKey key, byte[] payload) {
        String text = new String(answer, StandardCharsets.UTF_8);
        String expectedEnd = " " + key.text() + " " + checksum(payload);
        if (!text.endsWith("\n")) {
            return Check.PARTIAL;
        }
        List<String> lines = text.lines().toList();
        for (int i = 0; i < lines.size(); i++) {
            if (!lines.get(i).endsWith(expectedEnd)) {
                return Check.MISDELIVERED;
            }
            if (i >= services.size() || !lines.get(i).equals(services.get(i) + expectedEnd)) {
                return Check.PARTIAL;
            }
        }
        return lines.size() == services.size() ? Check.WHOLE : Check.PARTIAL;
    }
}
