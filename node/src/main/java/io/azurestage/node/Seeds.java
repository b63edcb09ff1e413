package io.azurestage.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.core.membership.Member;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The addresses in one data centre through which a starting node joins.
 *
 * @param seeds at most {@link #MAX} nodes
 */
record Seeds(List<Seed> seeds) {
    /** Seeds kept for each data centre. */
    static final int MAX = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * One seed.
     *
     * @param nodeId node id
     * @param incarnation incarnation
     * @param control control address
     */
    record Seed(String nodeId, long incarnation, String control) {}

    /** Parses the value of a seeds key; an unreadable value counts as empty. */
    static Seeds parse(byte[] json) {
        try {
            return MAPPER.readValue(json, Seeds.class);
        } catch (IOException e) {
            return new Seeds(List.of());
        }
    }

    byte[] json() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("seeds always print", e);
        }
    }

    List<String> addresses() {
        return seeds.stream().map(Seed::control).toList();
    }

    /** Keeps the seeds that are alive and fills up, so that the value changes seldom. */
    Seeds refreshed(List<Member> members, String dataCentre) {
        Map<String, Member> alive = new TreeMap<>();
        members.stream()
                .filter(m -> m.location().dataCentre().equals(dataCentre))
                .filter(m -> !m.isGone() && m.liveness() == Member.Liveness.ALIVE)
                .filter(m -> m.state() != Member.State.DRAINING)
                .forEach(m -> alive.put(m.nodeId(), m));
        Set<String> kept =
                seeds.stream()
                        .map(Seed::nodeId)
                        .filter(alive::containsKey)
                        .collect(Collectors.toSet());
        List<Seed> next = new ArrayList<>();
        alive.values().stream()
                .sorted(Comparator.comparing(m -> !kept.contains(m.nodeId())))
                .limit(MAX)
                .forEach(
                        m ->
                                next.add(
                                        new Seed(
                                                m.nodeId(),
                                                m.node().incarnation(),
                                                m.addresses().control())));
        next.sort(Comparator.comparing(Seed::nodeId));
        return new Seeds(List.copyOf(next));
    }
}
