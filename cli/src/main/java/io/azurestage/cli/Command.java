package io.azurestage.cli;

import org.apache.commons.cli.Options;

/** A subcommand of the tool. */
interface Command {

    /** Returns the words that select the command, such as {@code config push}. */
    String name();

    /** Returns the positional arguments as the usage line shows them. */
    String arguments();

    /** Returns one line that says what the command does. */
    String summary();

    /** Returns an example command line. */
    String example();

    /** Returns the options besides {@code --json} and {@code --help}. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws CliException if the input is invalid, a call fails or its outcome is unknown
     */
    ExitCode run(Args args, CliContext context);
}
