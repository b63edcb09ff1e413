package io.azurestage.cli;

import org.apache.commons.cli.Options;

/** One subcommand. */
interface Command {

    /** Returns the words that select the command, such as {@code config push}. */
    String name();

    /** Returns the arguments for the usage line. */
    String arguments();

    /** Returns one line that says what the command does. */
    String summary();

    /** Returns an example command line. */
    String example();

    /** Returns the options besides {@code --json} and {@code --help}. */
    Options options();

    /** Runs the command. */
    ExitCode run(Args args, CliContext context);
}
