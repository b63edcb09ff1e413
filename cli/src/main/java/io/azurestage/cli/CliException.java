package io.azurestage.cli;

/** Ends a command with an exit code and one line on standard error. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode mCode;

    CliException(ExitCode code, String fault, String remedy) {
        super(fault + "; " + remedy);
        mCode = code;
    }

    ExitCode code() {
        return mCode;
    }
}
