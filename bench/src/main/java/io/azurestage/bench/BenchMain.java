package io.azurestage.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.bench.cost.Cost;
import io.azurestage.bench.soak.Soak;
import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs experiments on the loopback interface.
 *
 * <pre>
 * bench overload [--seconds N] [--seed N] [--depth N] [--surge X]
 *         [--hop-timeout-ms N] [--policy P,...] [--json]
 * bench shares|rolling [--seconds N] [--seed N] [--depth N] [--policy P,...] [--json]
 * bench overhead [--seconds N] [--seed N] [--policy P,...] [--json]
 * bench spread [--nodes N,...] [--json]
 * bench outage [--seed N] [--json]
 * bench cost [--flags "FLAG ..."] [--json]
 * bench soak [--seed N] [--nodes N] [--seconds N] [--store-faults] [--json]
 * </pre>
 *
 * <p>The last line of the output is one JSON object with the figures by policy, or of the
 * experiment for {@code spread}, {@code outage}, {@code cost} and {@code soak}. With {@code --json}
 * it is the only output on stdout, and {@code overload} adds a time series for each policy. The
 * exit status is 2 for invalid arguments and 1 for a failed experiment or a soak that violates a
 * rule.
 */
public final class BenchMain {
    private static final int FAILED = 1;
    private static final int USAGE_ERROR = 2;
    private static final String DEFAULT_SECONDS = "10";
    private static final String DEFAULT_SEED = "1";
    private static final String DEFAULT_SOAK_NODES = "6";
    private static final String DEFAULT_SOAK_SECONDS = "30";
    private static final int SOAK_RATE_PER_NODE = 12;
    private static final String DEFAULT_DEPTH = "6";
    private static final String DEFAULT_SURGE = "5";
    private static final String DEFAULT_HOP_TIMEOUT_MS = "500";

    private final PrintStream mOut;

    private BenchMain(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs the command.
     *
     * @param args name of the experiment and its options
     */
    public static void main(String[] args) {
        int status = new BenchMain(System.out).run(args);
        System.out.flush();
        // Non-daemon threads of libraries would keep the process alive.
        System.exit(status);
    }

    private static Options options() {
        return new Options()
                .addOption(
                        option(
                                "seconds",
                                "length in seconds of the surge or the measured phase, default "
                                        + DEFAULT_SECONDS))
                .addOption(option("seed", "seed of the load and the service times, default 1"))
                .addOption(
                        option(
                                "depth",
                                "number of services in the chain, default " + DEFAULT_DEPTH))
                .addOption(
                        option(
                                "surge",
                                "offered load over the capacity of the slowest service, default "
                                        + DEFAULT_SURGE))
                .addOption(
                        option(
                                "hop-timeout-ms",
                                "timeout of each hop in the baselines in milliseconds, default "
                                        + DEFAULT_HOP_TIMEOUT_MS))
                .addOption(
                        option(
                                "nodes",
                                "comma-separated mesh sizes in nodes, default "
                                        + Spread.DEFAULT_SIZES))
                .addOption(option("flags", "extra JVM flags for the nodes, for cost"))
                .addOption(option("policy", "comma-separated policies, default all"))
                .addOption(
                        Option.builder()
                                .longOpt("store-faults")
                                .desc("soak: the store loses writes and connections to it")
                                .get())
                .addOption(
                        Option.builder().longOpt("json").desc("print only the JSON result").get());
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    private int run(String[] args) {
        try {
            CommandLine line = new DefaultParser().parse(options(), args);
            if (line.getArgList().size() != 1) {
                throw new ParseException(
                        "name one experiment: overload, shares, rolling, overhead, spread,"
                                + " outage or cost");
            }
            run(line.getArgList().get(0), line);
            return 0;
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("bench: " + e.getMessage());
            return USAGE_ERROR;
        } catch (RuntimeException | LinkageError e) {
            // Threads of a partly started mesh would keep the process alive, so return a status and
            // exit.
            e.printStackTrace();
            return FAILED;
        }
    }

    private void run(String experiment, CommandLine line) throws ParseException {
        Duration seconds =
                Duration.ofSeconds(
                        Integer.parseInt(line.getOptionValue("seconds", DEFAULT_SECONDS)));
        long seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
        int depth = Integer.parseInt(line.getOptionValue("depth", DEFAULT_DEPTH));
        Duration hopTimeout =
                Duration.ofMillis(
                        Integer.parseInt(
                                line.getOptionValue("hop-timeout-ms", DEFAULT_HOP_TIMEOUT_MS)));
        List<Policy> policies = Policies.parse(line.getOptionValue("policy"));
        boolean json = line.hasOption("json");
        switch (experiment) {
            case "overload" -> {
                double surge = Double.parseDouble(line.getOptionValue("surge", DEFAULT_SURGE));
                Overload overload = new Overload(depth, surge, seconds, hopTimeout, seed);
                report(policies, json, policy -> overload.run(policy, json));
            }
            case "shares" -> {
                Shares shares = new Shares(depth, seconds, hopTimeout, seed);
                report(policies, json, shares::run);
            }
            case "rolling" -> {
                Rolling rolling = new Rolling(depth, seconds, hopTimeout, seed);
                report(policies, json, rolling::run);
            }
            case "overhead" -> {
                Overhead overhead = new Overhead(seconds, hopTimeout, seed);
                report(policies, json, overhead::run);
            }
            case "spread" ->
                    print(new Spread(line.getOptionValue("nodes", Spread.DEFAULT_SIZES)).run());
            case "outage" -> print(new Outage(seed).run());
            case "cost" -> print(new Cost(flags(line)).run());
            case "soak" -> soak(seed, line);
            default -> throw new ParseException("unknown experiment: " + experiment);
        }
    }

    private void soak(long seed, CommandLine line) {
        int nodes = Integer.parseInt(line.getOptionValue("nodes", DEFAULT_SOAK_NODES));
        int seconds = Integer.parseInt(line.getOptionValue("seconds", DEFAULT_SOAK_SECONDS));
        Soak.Result result =
                new Soak(
                                seed,
                                nodes,
                                Duration.ofSeconds(seconds),
                                SOAK_RATE_PER_NODE * nodes,
                                line.hasOption("store-faults"))
                        .run();
        print(result.figures());
        if (!result.violations().isEmpty()) {
            throw new IllegalStateException("the soak violated: " + result.violations());
        }
    }

    private static List<String> flags(CommandLine line) {
        String flags = line.getOptionValue("flags");
        return flags == null ? List.of() : List.of(flags.split(" "));
    }

    @FunctionalInterface
    private interface PolicyRun {
        Map<String, Object> of(Policy policy);
    }

    private void report(List<Policy> policies, boolean json, PolicyRun run) {
        Map<String, Object> results = new LinkedHashMap<>();
        for (Policy policy : policies) {
            Map<String, Object> figures = run.of(policy);
            results.put(policy.label(), figures);
            if (!json) {
                mOut.println(policy.label());
                figures.forEach((name, value) -> mOut.printf("  %-26s %s%n", name, value));
            }
        }
        print(results);
    }

    private void print(Map<String, Object> results) {
        try {
            mOut.println(new ObjectMapper().writeValueAsString(results));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot print the results: " + e.getMessage(), e);
        }
    }
}
