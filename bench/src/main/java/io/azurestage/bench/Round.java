package io.azurestage.bench;

/** Rounds figures to 1 or 4 decimal places for the output. */
final class Round {
    private Round() {}

    static double to1(double value) {
        return Math.round(value * 10) / 10.0;
    }

    static double to4(double value) {
        return Math.round(value * 10_000) / 10_000.0;
    }
}
