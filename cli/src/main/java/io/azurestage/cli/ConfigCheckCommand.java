package io.azurestage.cli;

import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigProblem;
import java.util.List;
import org.apache.commons.cli.Options;

/** Validates a configuration file. */
final class ConfigCheckCommand implements Command {
    @Override
    public String name() {
        return "config check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "validate a configuration file; exit code 1 if it has problems";
    }

    @Override
    public String example() {
        return "azurestage config check mesh.json";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        String file = args.operands(1, 1).get(0);
        List<ConfigProblem> problems = Azurestage.check(ConfigFiles.read(file, context));
        if (args.json()) {
            Json.print(context, Json.object().set("problems", Json.problems(problems)));
        } else if (problems.isEmpty()) {
            context.out().println(file + ": no problems");
        } else {
            problems.forEach(p -> context.out().println(file + ": " + p));
        }
        return problems.isEmpty() ? ExitCode.DONE : ExitCode.NEGATIVE;
    }
}
