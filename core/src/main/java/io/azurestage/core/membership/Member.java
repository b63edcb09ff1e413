package io.azurestage.core.membership;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * A node as the others know it. Of two records of one node, the one with the higher incarnation is
 * in force; within an incarnation, the one with the higher revision; within a revision, the one
 * with the worse liveness.
 *
 * @param node id and incarnation
 * @param revision number of the record within the incarnation, from 1; only the node raises it
 * @param service service of the backend server
 * @param addresses where the node listens, fixed for an incarnation
 * @param location where the node runs
 * @param state what the node announces about itself
 * @param liveness what the failure detector found
 * @param slots requests that the backend server can run at once
 * @param startedAtMillis start of the incarnation, epoch milliseconds
 */
public record Member(
        NodeIdentity node,
        int revision,
        String service,
        Addresses addresses,
        Location location,
        State state,
        Liveness liveness,
        int slots,
        long startedAtMillis) {
    private static final int RANDOM_BITS = 20;

    /** What a node announces about itself. */
    public enum State {
        /** Learns members and configuration; not ready. */
        JOINING,
        /** Serves a growing part of the load. */
        WARMING,
        /** Serves its full part of the load. */
        SERVING,
        /** Takes no new work. */
        DRAINING,
        /** Stopped on purpose; final for the incarnation. */
        LEFT
    }

    /** What the failure detector found. */
    public enum Liveness {
        /** Answers probes. */
        ALIVE,
        /** Does not answer probes; becomes dead unless it refutes. */
        SUSPECT,
        /** Taken for dead. */
        DEAD
    }

    /**
     * Addresses of a node, each {@code host:port} with an IP address as host.
     *
     * @param ingress HTTP port for calls
     * @param control UDP and TCP port for control messages
     * @param admin HTTP port for operators
     */
    public record Addresses(String ingress, String control, String admin) {
        /** Checks that no address is missing. */
        public Addresses {
            Objects.requireNonNull(ingress, "ingress");
            Objects.requireNonNull(control, "control");
            Objects.requireNonNull(admin, "admin");
        }
    }

    /**
     * Where a node runs.
     *
     * @param dataCentre name of the data centre
     * @param region name of the region
     */
    public record Location(String dataCentre, String region) {
        /** Checks that no name is missing. */
        public Location {
            Objects.requireNonNull(dataCentre, "dataCentre");
            Objects.requireNonNull(region, "region");
        }
    }

    /** Checks that no part is missing. */
    public Member {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(addresses, "addresses");
        Objects.requireNonNull(location, "location");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(liveness, "liveness");
    }

    /**
     * Creates the first record of an incarnation: revision 1, {@code JOINING}, alive.
     *
     * @param node id and incarnation, see {@link #newIncarnation}
     * @param service service of the backend server
     * @param addresses where the node listens
     * @param location where the node runs
     * @param slots requests that the backend server can run at once
     * @param startedAtMillis start of the incarnation, epoch milliseconds
     * @return the record
     */
    public static Member joining(
            NodeIdentity node,
            String service,
            Addresses addresses,
            Location location,
            int slots,
            long startedAtMillis) {
        return new Member(
                node,
                1,
                service,
                addresses,
                location,
                State.JOINING,
                Liveness.ALIVE,
                slots,
                startedAtMillis);
    }

    /**
     * Returns a number for a new incarnation: the time in epoch milliseconds, followed by 20 random
     * bits that tell apart two starts in the same millisecond.
     *
     * @param time source of the wall-clock time
     * @param random source of the random bits
     * @return a positive number, higher than that of an earlier start
     */
    public static long newIncarnation(TimeSource time, RandomGenerator random) {
        return time.now().toEpochMilli() << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
    }

    /**
     * Returns the node id.
     *
     * @return the stable name of the node
     */
    public String nodeId() {
        return node.nodeId();
    }

    /**
     * Tells whether the node has left or is taken for dead.
     *
     * @return false for members that may be sent messages
     */
    public boolean isGone() {
        return state == State.LEFT || liveness == Liveness.DEAD;
    }

    /**
     * Returns this record with other addresses.
     *
     * @param newAddresses where the node listens
     * @return the changed record
     */
    public Member withAddresses(Addresses newAddresses) {
        return new Member(
                node,
                revision,
                service,
                newAddresses,
                location,
                state,
                liveness,
                slots,
                startedAtMillis);
    }

    Member with(int newRevision, State newState, Liveness newLiveness) {
        return new Member(
                node,
                newRevision,
                service,
                addresses,
                location,
                newState,
                newLiveness,
                slots,
                startedAtMillis);
    }

    Member with(Liveness newLiveness) {
        return with(revision, state, newLiveness);
    }

    static int compare(Member a, Member b) {
        int c = Long.compare(a.node.incarnation(), b.node.incarnation());
        if (c == 0) {
            c = Integer.compare(a.revision, b.revision);
        }
        return c != 0 ? c : a.liveness.compareTo(b.liveness);
    }
}
