package io.azurestage.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.Options;

/** Starts draining one node. */
final class DrainCommand implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "start draining one node: it accepts no new work and finishes work in progress";
    }

    @Override
    public String example() {
        return "azurestage drain --node 10.0.1.7:9090 --node-id bookings-3 --token-file token";
    }

    @Override
    public Options options() {
        return Flags.token(Flags.node(new Options()))
                .addOption(
                        Flags.value(
                                Flags.NODE_ID,
                                "ID",
                                "node to drain; by default the node given with --node"));
    }

    @Override
    public ExitCode run(Args args, CliContext context) {
        args.operands(0, 0);
        String token = args.token(context);
        try (Fleet fleet = Fleet.discover(args)) {
            NodeRef node = selectNode(fleet, args);
            Map<NodeRef, NodeResponse> responses =
                    fleet.post(List.of(node), "/azurestage/v1/drain", "", token);
            NodeResponse response = responses.get(node);
            if (!response.isOk()) {
                throw new CliException(
                        response.status() == 0 ? ExitCode.UNKNOWN : ExitCode.NEGATIVE,
                        "node " + node.nodeId() + " " + response.fault(),
                        "check the token, then see azurestage status and drain again");
            }
            if (args.json()) {
                Json.print(context, Json.object().put("nodeId", node.nodeId()).put("drain", true));
            } else {
                context.out().println("node " + node.nodeId() + " is draining");
            }
            return ExitCode.DONE;
        }
    }

    private static NodeRef selectNode(Fleet fleet, Args args) {
        Optional<String> id = args.value(Flags.NODE_ID);
        if (id.isEmpty() && args.nodes().size() > 1) {
            throw Args.badInput(
                    "several nodes are given", "select the node to drain with --node-id");
        }
        String wanted = id.orElseGet(() -> args.nodes().get(0));
        return fleet.nodes().stream()
                .filter(n -> wanted.equals(id.isPresent() ? n.nodeId() : n.admin()))
                .findFirst()
                .orElseThrow(
                        () -> Args.badInput("unknown node " + wanted, "see azurestage status"));
    }
}
