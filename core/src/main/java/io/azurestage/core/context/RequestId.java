package io.azurestage.core.context;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Id of a request, shared by all calls of its call chain.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record RequestId(long high, long low) {
    private static final int BYTES = 16;

    /**
     * Creates a random id.
     *
     * @param random source of random bits
     * @return a new id
     */
    public static RequestId random(RandomGenerator random) {
        return new RequestId(random.nextLong(), random.nextLong());
    }

    /**
     * Decodes an id from its bytes.
     *
     * @param bytes the 16 bytes of the id, big-endian
     * @return the id
     * @throws IllegalArgumentException if the number of bytes is not 16
     */
    public static RequestId of(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException(
                    "a request id must have 16 bytes, not " + bytes.length);
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        return new RequestId(b.getLong(), b.getLong());
    }

    /**
     * Encodes the id as bytes.
     *
     * @return the 16 bytes of the id, big-endian
     */
    public byte[] bytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    /**
     * Returns a hash of the id that orders requests in the same way on every node, so that load
     * shedding admits the same requests at every depth.
     *
     * @return the rank in [0,1); requests with a lower rank are admitted first
     */
    public double rank() {
        long hash = high * 0x9E3779B97F4A7C15L ^ low;
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return ((hash ^ (hash >>> 31)) >>> 11) * 0x1.0p-53;
    }

    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes());
    }
}
