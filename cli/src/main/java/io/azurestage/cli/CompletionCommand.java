package io.azurestage.cli;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.apache.commons.cli.Options;

/** Prints a bash completion script for the commands and options of the tool. */
final class CompletionCommand implements Command {
    private final Supplier<List<Command>> mCommands;

    CompletionCommand(Supplier<List<Command>> commands) {
        mCommands = commands;
    }

    @Override
    public String name() {
        return "completion";
    }

    @Override
    public String arguments() {
        return "[bash]";
    }

    @Override
    public String summary() {
        return "print a completion script for bash";
    }

    @Override
    public String example() {
        return "source <(azurestage completion bash)";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        List<String> shell = args.operands(0, 1);
        if (!shell.isEmpty() && !"bash".equals(shell.get(0))) {
            throw Args.badInput("unsupported shell '" + shell.get(0) + "'", "use bash");
        }
        if (args.json()) {
            Json.print(context, Json.object().put("script", script()));
        } else {
            context.out().print(script());
        }
        return ExitCode.DONE;
    }

    private String script() {
        Set<String> topLevelWords = new TreeSet<>();
        Set<String> configWords = new TreeSet<>();
        StringBuilder cases = new StringBuilder();
        for (Command c : mCommands.get()) {
            String[] words = c.name().split(" ");
            topLevelWords.add(words[0]);
            if (words.length > 1) {
                configWords.add(words[1]);
            }
            Set<String> options = new TreeSet<>(Set.of("--help", "--json"));
            c.options().getOptions().forEach(o -> options.add("--" + o.getLongOpt()));
            cases.append("    \"").append(c.name()).append("\"*) words=\"");
            cases.append(String.join(" ", options)).append("\" ;;\n");
        }
        return String.join(
                "\n",
                "_azurestage() {",
                "  local current=\"${COMP_WORDS[COMP_CWORD]}\" words=\"\"",
                "  local line=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"",
                "  case \"$line\" in",
                "    \"\") words=\"" + String.join(" ", topLevelWords) + "\" ;;",
                "    \"config\") words=\"" + String.join(" ", configWords) + "\" ;;",
                cases + "  esac",
                "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))",
                "}",
                "complete -o default -F _azurestage azurestage",
                "");
    }
}
