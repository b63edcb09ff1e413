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

/** Tells from the nodes' logs what became of a request. */
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
        return "tell from the nodes' logs what became of a request and why;"
                + " exit code 1 if no line names it";
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
                                .desc("logs of the nodes, all of them if possible")
                                .get());
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        String id = args.operands(1, 1).get(0);
        String[] files = args.line().getOptionValues(LOGS);
        if (files == null) {
            throw Args.badInput("--logs is missing", "name the nodes' log files");
        }
        RequestTrace story = new RequestTrace(id);
        read(files, story::addRequestLine);
        read(files, story::addContextLine);
        if (args.json()) {
            Json.print(context, json(id, story));
        } else {
            print(id, story, context);
        }
        return story.lines().isEmpty() ? ExitCode.NEGATIVE : ExitCode.DONE;
    }

    private static void read(String[] files, Consumer<LogLine> reader) {
        for (String f : files) {
            try (BufferedReader in = Files.newBufferedReader(Path.of(f), StandardCharsets.UTF_8)) {
                in.lines().forEach(line -> LogLine.parse(line).ifPresent(reader));
            } catch (IOException | InvalidPathException e) {
                throw Args.badInput("log " + f + " cannot be read", "name a readable text file");
            }
        }
    }

    private static void print(String id, RequestTrace story, CliContext context) {
        List<LogLine> lines = story.lines();
        for (LogLine l : lines) {
            String fields =
                    l.fields().entrySet().stream()
                            .sorted(Map.Entry.comparingByKey())
                            .map(e -> e.getKey() + "=" + e.getValue())
                            .collect(Collectors.joining("  "));
            context.out()
                    .printf(
                            "%+7d ms  %-24s %s  %s%n",
                            l.millis() - story.start(), l.node(), l.name(), fields);
        }
        context.out().println(id + ": " + story.cause());
        story.failedCalls().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                context.out()
                                        .println(
                                                "  calls of its backend server that failed"
                                                        + " meanwhile: "
                                                        + e.getKey()
                                                        + " x "
                                                        + e.getValue()));
        if (story.leftOut() > 0) {
            context.printNote(
                    "nodes left out "
                            + story.leftOut()
                            + " lines around this time; parts of the story may be missing");
        }
    }

    private static ObjectNode json(String id, RequestTrace story) {
        ObjectNode result = Json.object();
        result.put("requestId", id).put("cause", story.cause()).put("leftOut", story.leftOut());
        ArrayNode lines = result.putArray("lines");
        for (LogLine l : story.lines()) {
            ObjectNode o = lines.addObject();
            o.put("millis", l.millis()).put("node", l.node()).put("event", l.name());
            ObjectNode fields = o.putObject("fields");
            l.fields().forEach(fields::put);
        }
        ObjectNode calls = result.putObject("failedCalls");
        story.failedCalls().forEach(calls::put);
        return result;
    }
}
