package io.azurestage.node;

/** Whether a refused request ran. */
enum Ran {
    /** It certainly did not run. */
    NOT_RUN("not-run"),
    /** It may have run, in whole or in part. */
    UNKNOWN("unknown");

    private final String mText;

    Ran(String text) {
        mText = text;
    }

    String text() {
        return mText;
    }
}
