package io.azurestage.core.time;

/**
 * A reading of a hybrid logical clock.
 *
 * @param millis physical part, epoch milliseconds
 * @param counter logical part, orders readings of the same millisecond
 */
public record HlcTime(long millis, int counter) implements Comparable<HlcTime> {

    @Override
    public int compareTo(HlcTime o) {
        int c = Long.compare(millis, o.millis);
        return c != 0 ? c : Integer.compare(counter, o.counter);
    }
}
