package io.azurestage.bench.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Format of a stand-in backend's answer: one line for every level of the chain, with the service,
 * the request key and the checksum of the payload that the level received.
 */
public final class Echo {
    private Echo() {}

    /** How an answer compares with the one that the caller expects. */
    public enum Check {
        /** Every level answered for this request. */
        WHOLE,
        /** A level is missing or was added. */
        PARTIAL,
        /** A level answered for another request or another payload. */
        MISDELIVERED
    }

    static byte[] answer(String service, RequestKey key, byte[] payload, List<byte[]> inner) {
        StringBuilder text = new StringBuilder(line(service, key, payload));
        inner.forEach(part -> text.append(new String(part, StandardCharsets.UTF_8)));
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
     * Checks an answer.
     *
     * @param answer body of the answer
     * @param services services of the whole chain in the order in which they answer
     * @param key key of the caller's request
     * @param payload payload of the caller's request
     * @return whether the answer is whole and belongs to the request
     */
    public static Check check(
            byte[] answer, List<String> services, RequestKey key, byte[] payload) {
        String text = new String(answer, StandardCharsets.UTF_8);
        String own = " " + key.text() + " " + checksum(payload);
        if (!text.endsWith("\n")) {
            return Check.PARTIAL;
        }
        List<String> lines = text.lines().toList();
        for (int i = 0; i < lines.size(); i++) {
            if (!lines.get(i).endsWith(own)) {
                return Check.MISDELIVERED;
            }
            if (i >= services.size() || !lines.get(i).equals(services.get(i) + own)) {
                return Check.PARTIAL;
            }
        }
        return lines.size() == services.size() ? Check.WHOLE : Check.PARTIAL;
    }
}
