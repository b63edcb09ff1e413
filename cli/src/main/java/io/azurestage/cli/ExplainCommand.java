package io.azurestage.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Explains the outcome of a request from the logs of the nodes. */
final class ExplainCommand implements Command {
    private static final String LOGS = "logs";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "REQUEST-ID";
    }

    @Override
    public String summary() {
        return "explain the outcome of a request from the nodes' logs;"
                + " exit code 1 if no log line names it";
    }

    @Override
    public String example() {
        return "azurestage explain 4f9c48f549c763de --logs node-1.log node-2.log";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt(LOGS)
                                .hasArgs()
                                .argName("FILE")
                                .desc("log files of the nodes, of all nodes if possible")
                                .get());
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        String id = args.operands(1, 1).get(0);
        String[] files = args.line().getOptionValues(LOGS);
        if (files == null) {
            throw Args.badInput("--logs is missing", "pass the log files of the nodes");
        }
        RequestTrace trace = new RequestTrace(id);
        read(files, trace::addRequestLine);
        read(files, trace::addContextLine);
        if (args.json()) {
            Json.print(context, json(id, trace));
        } else {
            print(id, trace, context);
        }
        return trace.lines().isEmpty() ? ExitCode.NEGATIVE : ExitCode.DONE;
    }

    private static void read(String[] files, Consumer<LogLine> consumer) {
        for (String f : files) {
            try (BufferedReader in = Files.newBufferedReader(Path.of(f), StandardCharsets.UTF_8)) {
                in.lines().forEach(line -> LogLine.parse(line).ifPresent(consumer));
            } catch (IOException | InvalidPathException e) {
                throw Args.badInput(
                        "log file " + f + " cannot be read", "pass a readable UTF-8 text file");
            }
        }
    }

    private static void print(String id, RequestTrace trace, CliContext context) {
        List<LogLine> lines = trace.lines();
        for (LogLine l : lines) {
            String fields =
                    l.fields().entrySet().stream()
                            .sorted(Map.Entry.comparingByKey())
                            .map(e -> e.getKey() + "=" + e.getValue())
                            .collect(Collectors.joining("  "));
            context.out()
                    .printf(
                            "%+7d ms  %-24s %s  %s%n",
                            l.millis() - trace.start(), l.node(), l.name(), fields);
        }
        context.out().println(id + ": " + trace.cause());
        trace.failedCalls().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                context.out()
                                        .println(
                                                "  outgoing calls of its backend server that"
                                                        + " failed during the request: "
                                                        + e.getKey()
                                                        + " x "
                                                        + e.getValue()));
        if (trace.leftOut() > 0) {
            context.printNote(
                    "nodes left out "
                            + trace.leftOut()
                            + " lines around this time; related events may be missing");
        }
    }

    private static ObjectNode json(String id, RequestTrace trace) {
        ObjectNode result = Json.object();
        result.put("requestId", id).put("cause", trace.cause()).put("leftOut", trace.leftOut());
        ArrayNode lines = result.putArray("lines");
        for (LogLine l : trace.lines()) {
            ObjectNode o = lines.addObject();
            o.put("millis", l.millis()).put("node", l.node()).put("event", l.name());
            ObjectNode fields = o.putObject("fields");
            l.fields().forEach(fields::put);
        }
        ObjectNode calls = result.putObject("failedCalls");
        trace.failedCalls().forEach(calls::put);
        return result;
    }
}
