package io.azurestage.cli;

/** Exit codes of the tool. */
enum ExitCode {
    DONE(0, "done"),
    NEGATIVE(1, "negative result, such as a difference, a problem or a conflict"),
    BAD_INPUT(2, "invalid usage or input"),
    UNAVAILABLE(3, "the store or the nodes do not respond; nothing was changed"),
    UNKNOWN(4, "unknown outcome; the message says how to check it");

    private final int mNumber;
    private final String mMeaning;

    ExitCode(int number, String meaning) {
        mNumber = number;
        mMeaning = meaning;
    }

    int number() {
        return mNumber;
    }

    String meaning() {
        return mMeaning;
    }
}
