package io.azurestage.bench;

/** How one attempt of a caller ended; the detail is the kind of a refusal or the reason. */
record AttemptResult(Verdict verdict, String detail) {}
