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
 * The nodes of one data centre through which a starting node can join the mesh.
 *
 * @param seeds at most {@link #MAX_SEEDS} nodes
 */
record Seeds(List<Seed> seeds) {
    /** Maximum number of seeds of one data centre. */
    static final int MAX_SEEDS = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * One seed.
     *
     * @param nodeId node id
     * @param incarnation incarnation of the node
     * @param control address for control messages, HOST:PORT
     */
    record Seed(String nodeId, long incarnation, String control) {}

    /** Parses the value of a seeds key. Returns no seeds if the value is not valid. */
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
            throw new IllegalStateException("seeds cannot be serialized to JSON", e);
        }
    }

    List<String> addresses() {
        return seeds.stream().map(Seed::control).toList();
    }

    /**
     * Keeps the seeds that are alive and adds other nodes up to the maximum. Seeds are kept so that
     * the stored value seldom changes.
     */
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
                .limit(MAX_SEEDS)
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
