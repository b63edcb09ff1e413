package io.azurestage.core.context;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identifies one whole request over its entire chain.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record RequestId(long high, long low) {
    private static final int BYTES = 16;

    /**
     * Creates a random id.
     *
     * @param random source of the bits
     * @return a new id
     */
    public static RequestId random(RandomGenerator random) {
        return new RequestId(random.nextLong(), random.nextLong());
    }

    /**
     * Reads an id from its bytes.
     *
     * @param bytes 16 bytes
     * @return the id
     * @throws IllegalArgumentException if there are not 16 bytes
     */
    public static RequestId of(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("a request id has 16 bytes, not " + bytes.length);
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        return new RequestId(b.getLong(), b.getLong());
    }

    /**
     * Returns the id's bytes.
     *
     * @return 16 bytes
     */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    /**
     * Returns a stable number in [0,1) that orders requests in the same way on every node, so that
     * the same requests survive at every depth.
     *
     * @return the rank, lower is admitted first
     */
    public double rank() {
        long h = high * 0x9E3779B97F4A7C15L ^ low;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return ((h ^ (h >>> 31)) >>> 11) * 0x1.0p-53;
    }

    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes());
    }
}
