package io.azurestage.core.time;

/**
 * A reading of a hybrid logical clock.
 *
 * @param millis physical component, in epoch milliseconds
 * @param counter logical component, which orders readings of the same millisecond
 */
public record HlcTime(long millis, int counter) implements Comparable<HlcTime> {

    @Override
    public int compareTo(HlcTime o) {
        int c = Long.compare(millis, o.millis);
        return c != 0 ? c : Integer.compare(counter, o.counter);
    }
}
