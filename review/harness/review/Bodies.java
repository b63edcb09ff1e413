package review;

import java.util.Arrays;
import java.util.Random;

/** Bodies that differ from request to request and at each position. */
final class Bodies {
    private static final byte[] SOURCE = new byte[8 << 20];

    static {
        new Random(1).nextBytes(SOURCE);
    }

    private Bodies() {}

    /** Returns the body that belongs to an id. */
    static byte[] of(String id, int length) {
        int from = Math.floorMod(id.hashCode(), SOURCE.length - length);
        return Arrays.copyOfRange(SOURCE, from, from + length);
    }
}
