package io.azurestage.cli;

/** Failure of a command: an exit code, and a message that names the problem and the remedy. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode mCode;

    CliException(ExitCode code, String problem, String remedy) {
        super(problem + "; " + remedy);
        mCode = code;
    }

    ExitCode code() {
        return mCode;
    }
}
