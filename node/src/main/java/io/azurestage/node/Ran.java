package io.azurestage.node;

/** Whether a refused request ran. */
enum Ran {
    /** The request did not run. */
    NOT_RUN("not-run"),
    /** The request may have run, completely or in part. */
    UNKNOWN("unknown");

    private final String mText;

    Ran(String text) {
        mText = text;
    }

    String text() {
        return mText;
    }
}
