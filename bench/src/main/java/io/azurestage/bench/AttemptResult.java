package io.azurestage.bench;

/** Result of one attempt of a caller; the detail is the kind of a refusal or the failure reason. */
record AttemptResult(Verdict verdict, String detail) {}
