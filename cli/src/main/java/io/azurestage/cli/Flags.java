package io.azurestage.cli;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Names of the command-line options, and the options that several commands share. */
final class Flags {
    static final String AUTHOR = "author";
    static final String BASE = "base";
    static final String HELP = "help";
    static final String JSON = "json";
    static final String LIMIT = "limit";
    static final String NODE = "node";
    static final String NODE_ID = "node-id";
    static final String NUMBER = "number";
    static final String PARTNER = "partner";
    static final String REQUEST = "request";
    static final String STORE = "store";
    static final String TIMEOUT = "timeout";
    static final String TOKEN_FILE = "token-file";

    private Flags() {}

    static Option value(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    static Options store(Options options) {
        return options.addOption(value(STORE, "HOST:PORT", "endpoint of the store, repeatable"))
                .addOption(timeout());
    }

    static Options node(Options options) {
        return options.addOption(
                        value(
                                NODE,
                                "HOST:PORT",
                                "admin address of a node, repeatable; others are discovered"))
                .addOption(timeout());
    }

    static Options token(Options options) {
        return options.addOption(
                value(
                        TOKEN_FILE,
                        "FILE",
                        "file with the operator token, default: variable AZURESTAGE_TOKEN"));
    }

    private static Option timeout() {
        return value(TIMEOUT, "SECONDS", "timeout of one call, 3 by default");
    }
}
