package io.azurestage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.apache.commons.cli.Options;

/** Shows the state, configuration version and load of all nodes. */
final class StatusCommand implements Command {
    private static final String ROW = "%-24s %-20s %-12s %-9s %7s %6s %8s %7s%n";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "show state, configuration, limit, load and lent shares of all nodes;"
                + " exit code 1 if a node does not respond";
    }

    @Override
    public String example() {
        return "azurestage status --node 10.0.1.7:9090";
    }

    @Override
    public Options options() {
        return Flags.node(new Options());
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        args.operands(0, 0);
        Map<NodeRef, NodeResponse> all;
        try (Fleet fleet = Fleet.discover(args)) {
            all = fleet.get(fleet.nodes(), Fleet.SHORT_STATUS);
        }
        if (args.json()) {
            printJson(all, context);
        } else {
            printText(all, context);
        }
        boolean complete = all.values().stream().allMatch(NodeResponse::isOk);
        return complete ? ExitCode.DONE : ExitCode.NEGATIVE;
    }

    private static void printJson(Map<NodeRef, NodeResponse> all, CliContext context) {
        ObjectNode result = Json.object();
        ArrayNode nodes = result.putArray("nodes");
        ArrayNode unanswered = result.putArray("unanswered");
        all.forEach(
                (node, response) -> {
                    if (response.isOk()) {
                        nodes.add(response.body());
                    } else {
                        unanswered
                                .addObject()
                                .put("nodeId", node.nodeId())
                                .put("admin", node.admin())
                                .put("liveness", node.liveness())
                                .put("fault", response.fault());
                    }
                });
        Json.print(context, result);
    }

    private static void printText(Map<NodeRef, NodeResponse> all, CliContext context) {
        context.out()
                .printf(
                        ROW,
                        "NODE",
                        "SERVICE",
                        "DATA CENTRE",
                        "STATE",
                        "CONFIG",
                        "LIMIT",
                        "INFLIGHT",
                        "QUEUED");
        all.forEach(
                (node, response) -> {
                    if (response.isOk()) {
                        printRow(response.body(), context);
                    } else {
                        context.printNote(
                                "node "
                                        + node.nodeId()
                                        + " "
                                        + response.fault()
                                        + "; its peers report it as "
                                        + node.liveness());
                    }
                });
    }

    private static void printRow(JsonNode s, CliContext context) {
        context.out()
                .printf(
                        ROW,
                        s.path("nodeId").asText(),
                        s.path("service").asText(),
                        s.path("dataCentre").asText(),
                        s.path("state").asText(),
                        s.path("configNumber").asText(),
                        s.path("limit").asText(),
                        s.path("inFlight").asText(),
                        s.path("queued").asText());
        for (JsonNode f : s.path("fractions")) {
            context.out()
                    .println(
                            "    admitted "
                                    + f.path("fraction").asText()
                                    + " of "
                                    + f.path("partner").asText()
                                    + " "
                                    + f.path("workClass").asText());
        }
        for (JsonNode l : s.path("lent")) {
            context.out()
                    .println(
                            "    "
                                    + l.path("lender").asText()
                                    + " lends "
                                    + l.path("slots").asText()
                                    + " slots to "
                                    + l.path("borrower").asText()
                                    + " for "
                                    + l.path("workClass").asText());
        }
    }
}
