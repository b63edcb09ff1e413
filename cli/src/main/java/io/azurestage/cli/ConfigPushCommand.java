package io.azurestage.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.Azurestage;
import io.azurestage.config.ConfigProblem;
import io.azurestage.config.MeshConfig;
import io.azurestage.store.ConfigPublisher;
import io.azurestage.store.PlatformStore;
import io.azurestage.store.Push;
import io.azurestage.store.PushResult;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.Options;

/**
 * Publishes a configuration to the store, sends it to some nodes and waits until it is in force at
 * all of them or the time limit has passed.
 */
final class ConfigPushCommand implements Command {
    @Override
    public String name() {
        return "config push";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "validate and publish a configuration, send it to nodes, and report where it is in"
                + " force after up to 4 s";
    }

    @Override
    public String example() {
        return "azurestage config push mesh.json --base 41 --store 10.0.0.5:2379"
                + " --node 10.0.1.7:9090 --token-file token";
    }

    @Override
    public Options options() {
        Options options = Flags.token(Flags.node(Flags.store(new Options())));
        return options.addOption(
                        Flags.value(Flags.AUTHOR, "NAME", "author, the user's name by default"))
                .addOption(
                        Flags.value(
                                Flags.BASE,
                                "N",
                                "version that FILE is based on; a push fails with a conflict if"
                                        + " another version is current"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        MeshConfig config = ConfigFiles.read(args.operands(1, 1).get(0), context);
        List<ConfigProblem> problems = Azurestage.check(config);
        if (!problems.isEmpty()) {
            return reportInvalid(problems, args, context);
        }
        String author = args.value(Flags.AUTHOR).orElse(System.getProperty("user.name"));
        args.stores();
        Push push = Push.of(config, author);
        Optional<Long> base = args.number(Flags.BASE);
        if (base.isPresent()) {
            push = push.base(base.get());
        }
        if (!args.hasNode()) {
            context.printNote(
                    "no --node given; nodes are neither queried nor sent the new version");
            return push(push, args, context, Optional.empty(), "");
        }
        String token = args.token(context);
        try (Fleet fleet = Fleet.discover(args)) {
            Rollout rollout = new Rollout(fleet, context);
            return push(
                    push.reported(rollout.highestNumber()),
                    args,
                    context,
                    Optional.of(rollout),
                    token);
        }
    }

    private static ExitCode push(
            Push push, Args args, CliContext context, Optional<Rollout> rollout, String token) {
        PushResult result;
        try (PlatformStore store = VersionReader.open(args, context)) {
            result = new ConfigPublisher(store).push(push).join();
        }
        if (result instanceof PushResult.Accepted a) {
            reportAccepted(a, args, context, rollout.map(r -> r.distribute(a.record(), token)));
            return ExitCode.DONE;
        }
        if (result instanceof PushResult.Conflict c) {
            return reportConflict(c, args, context);
        }
        if (result instanceof PushResult.Invalid i) {
            return reportInvalid(i.problems(), args, context);
        }
        if (result instanceof PushResult.Unknown u) {
            return fail(
                    "unknown",
                    ExitCode.UNKNOWN,
                    "outcome unknown: " + u.reason(),
                    u.remedy(),
                    args,
                    context);
        }
        PushResult.Unavailable u = (PushResult.Unavailable) result;
        return fail(
                "unavailable",
                ExitCode.UNAVAILABLE,
                "nothing was published: " + u.reason(),
                u.remedy(),
                args,
                context);
    }

    private static void reportAccepted(
            PushResult.Accepted a, Args args, CliContext context, Optional<Rollout.Result> result) {
        AcceptedConfig record = a.record();
        if (args.json()) {
            ObjectNode n = Json.object().put("outcome", "accepted");
            n.put("number", record.number()).put("changeId", record.changeId());
            n.put("superseded", a.superseded());
            n.set("difference", Json.strings(a.difference().lines()));
            result.ifPresent(
                    r ->
                            n.put("handed", r.handed())
                                    .put("inForce", r.inForce())
                                    .put("nodes", r.nodes())
                                    .set("behind", Json.strings(r.behind())));
            Json.print(context, n);
            printNotes(result, context);
            return;
        }
        context.out()
                .println(
                        "accepted as version " + record.number() + ", change " + record.changeId());
        a.difference().lines().forEach(l -> context.out().println("    " + l));
        if (a.superseded()) {
            context.out().println("a newer version has been accepted since");
        }
        result.ifPresent(
                r -> {
                    context.out()
                            .println("delivered to " + r.handed() + " of " + r.asked() + " nodes");
                    context.out()
                            .println("in force at " + r.inForce() + " of " + r.nodes() + " nodes");
                });
        printNotes(result, context);
    }

    private static void printNotes(Optional<Rollout.Result> result, CliContext context) {
        result.ifPresent(
                r -> {
                    r.faults()
                            .forEach(
                                    f -> context.printNote(f + "; peers will send it the version"));
                    if (!r.behind().isEmpty()) {
                        context.printNote(
                                "not in force within "
                                        + Rollout.TIMEOUT.toSeconds()
                                        + " s at "
                                        + String.join(", ", r.behind())
                                        + "; see azurestage status");
                    }
                });
    }

    private static ExitCode reportInvalid(
            List<ConfigProblem> problems, Args args, CliContext context) {
        if (args.json()) {
            ObjectNode n = Json.object().put("outcome", "invalid");
            Json.print(context, n.set("problems", Json.problems(problems)));
        }
        problems.forEach(p -> context.printNote(p.toString()));
        return ExitCode.BAD_INPUT;
    }

    private static ExitCode reportConflict(PushResult.Conflict c, Args args, CliContext context) {
        long number = c.current().map(AcceptedConfig::number).orElse(0L);
        if (args.json()) {
            ObjectNode n = Json.object().put("outcome", "conflict").put("currentNumber", number);
            n.put("remedy", c.remedy());
            Json.print(context, n.set("difference", Json.strings(c.difference().lines())));
        } else {
            c.difference().lines().forEach(context.out()::println);
        }
        String by = c.current().map(r -> " by " + r.author()).orElse("");
        context.printNote("conflict: version " + number + by + " is current; " + c.remedy());
        return ExitCode.NEGATIVE;
    }

    private static ExitCode fail(
            String outcome,
            ExitCode code,
            String fault,
            String remedy,
            Args args,
            CliContext context) {
        if (args.json()) {
            Json.print(
                    context,
                    Json.object()
                            .put("outcome", outcome)
                            .put("reason", fault)
                            .put("remedy", remedy));
        }
        throw new CliException(code, fault, remedy);
    }
}
