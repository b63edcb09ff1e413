package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.cli.Options;

/** Merges the events of all nodes into one timeline. */
final class TimelineCommand implements Command {
    private static final long DEFAULT_LIMIT = 1000;
    private static final long MAX_LIMIT = 1_000_000;

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "merge the events of all nodes by hybrid logical clock;"
                + " exit code 1 if a node does not respond";
    }

    @Override
    public String example() {
        return "azurestage timeline --node 10.0.1.7:9090 --request"
                + " 4bf92f3577b34da6a3ce929d0e0e4736";
    }

    @Override
    public Options options() {
        return Flags.node(new Options())
                .addOption(Flags.value(Flags.REQUEST, "ID", "only events of this request"))
                .addOption(Flags.value(Flags.PARTNER, "NAME", "only events of this partner"))
                .addOption(Flags.value(Flags.NODE_ID, "ID", "only events of this node"))
                .addOption(Flags.value(Flags.NUMBER, "N", "only events with this number"))
                .addOption(
                        Flags.value(
                                Flags.LIMIT,
                                "N",
                                "maximum number of events, the latest ones, 1000 by default"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        args.operands(0, 0);
        long limit = args.number(Flags.LIMIT).orElse(DEFAULT_LIMIT);
        if (limit < 1 || limit > MAX_LIMIT) {
            throw Args.badInput(
                    "--limit " + limit + " is not in 1.." + MAX_LIMIT, "use a value in this range");
        }
        Map<NodeRef, NodeResponse> responses;
        try (Fleet fleet = Fleet.discover(args)) {
            responses = fleet.get(selectNodes(fleet, args.value(Flags.NODE_ID)), path(args));
        }
        List<TimelineEvent> events = merge(responses.values(), limit);
        if (args.json()) {
            printJson(events, responses, context);
        } else {
            events.forEach(e -> context.out().println(e.line()));
            printNotes(responses, context);
        }
        boolean complete = responses.values().stream().allMatch(NodeResponse::isOk);
        return complete ? ExitCode.DONE : ExitCode.NEGATIVE;
    }

    private static List<NodeRef> selectNodes(Fleet fleet, Optional<String> nodeId) {
        List<NodeRef> nodes =
                fleet.nodes().stream()
                        .filter(n -> nodeId.isEmpty() || nodeId.get().equals(n.nodeId()))
                        .toList();
        if (nodes.isEmpty()) {
            throw Args.badInput("unknown node " + nodeId.get(), "see azurestage status");
        }
        return nodes;
    }

    private static String path(Args args) {
        List<String> query = new ArrayList<>();
        args.value(Flags.REQUEST).ifPresent(v -> query.add("requestId=" + encode(v)));
        args.value(Flags.PARTNER).ifPresent(v -> query.add("partner=" + encode(v)));
        args.number(Flags.NUMBER).ifPresent(v -> query.add("number=" + v));
        String path = "/azurestage/v1/events";
        return query.isEmpty() ? path : path + "?" + String.join("&", query);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Returns the latest {@code limit} events of all responses, oldest first. */
    static List<TimelineEvent> merge(Collection<NodeResponse> responses, long limit) {
        PriorityQueue<TimelineEvent> latest = new PriorityQueue<>();
        for (NodeResponse response : responses) {
            for (JsonNode e : response.body().path("events")) {
                latest.add(TimelineEvent.of(e));
                if (latest.size() > limit) {
                    latest.remove();
                }
            }
        }
        return latest.stream().sorted().toList();
    }

    private static void printNotes(Map<NodeRef, NodeResponse> responses, CliContext context) {
        responses.forEach(
                (node, response) -> {
                    long dropped = response.body().path("dropped").asLong();
                    if (!response.isOk()) {
                        context.printNote(
                                "node "
                                        + node.nodeId()
                                        + " "
                                        + response.fault()
                                        + "; its events are missing");
                    } else if (dropped > 0) {
                        context.printNote(
                                "node "
                                        + node.nodeId()
                                        + " dropped its oldest "
                                        + dropped
                                        + " events; earlier events may be missing");
                    }
                });
    }

    private static void printJson(
            List<TimelineEvent> events, Map<NodeRef, NodeResponse> responses, CliContext context) {
        ObjectNode result = Json.object();
        ArrayNode array = result.putArray("events");
        events.forEach(e -> array.add(e.json()));
        ObjectNode dropped = result.putObject("dropped");
        ArrayNode unanswered = result.putArray("unanswered");
        responses.forEach(
                (node, response) -> {
                    if (response.isOk()) {
                        dropped.put(node.nodeId(), response.body().path("dropped").asLong());
                    } else {
                        unanswered.add(node.nodeId());
                    }
                });
        Json.print(context, result);
    }
}
