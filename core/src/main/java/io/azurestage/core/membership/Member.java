package io.azurestage.core.membership;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Membership record of a node. Of two records of one node, the one with the higher incarnation
 * takes precedence; within an incarnation, the one with the higher revision; within a revision, the
 * one with the worse liveness.
 *
 * @param node id and incarnation
 * @param revision number of the record within the incarnation, from 1; only the node itself
 *     increments it
 * @param service service of the backend server
 * @param addresses addresses that the node listens on, fixed for an incarnation
 * @param location data centre and region of the node
 * @param state state that the node announces
 * @param liveness liveness according to the failure detector
 * @param slots number of requests that the backend server can run concurrently
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

    /** State that a node announces about itself. */
    public enum State {
        /** Synchronises members and configuration; not ready. */
        JOINING,
        /** In slow start: receives a growing share of the load. */
        WARMING,
        /** Receives its full share of the load. */
        SERVING,
        /** Accepts no new work. */
        DRAINING,
        /** Shut down in order; final for the incarnation. */
        LEFT
    }

    /** Liveness of a member according to the failure detector. */
    public enum Liveness {
        /** Answers probes. */
        ALIVE,
        /** Does not answer probes; declared dead unless it refutes the suspicion in time. */
        SUSPECT,
        /** Declared dead. */
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
        /** Validates that no address is null. */
        public Addresses {
            Objects.requireNonNull(ingress, "ingress");
            Objects.requireNonNull(control, "control");
            Objects.requireNonNull(admin, "admin");
        }
    }

    /**
     * Location of a node.
     *
     * @param dataCentre name of the data centre
     * @param region name of the region
     */
    public record Location(String dataCentre, String region) {
        /** Validates that no name is null. */
        public Location {
            Objects.requireNonNull(dataCentre, "dataCentre");
            Objects.requireNonNull(region, "region");
        }
    }

    /** Validates that no component is null. */
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
     * @param addresses addresses that the node listens on
     * @param location data centre and region of the node
     * @param slots number of requests that the backend server can run concurrently
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
     * bits that distinguish two starts in the same millisecond.
     *
     * @param time source of the wall-clock time
     * @param random source of the random bits
     * @return a positive number, higher than that of a start in an earlier millisecond
     */
    public static long newIncarnation(TimeSource time, RandomGenerator random) {
        return time.now().toEpochMilli() << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
    }

    /**
     * Returns the node id.
     *
     * @return the id, which is the same in all incarnations of the node
     */
    public String nodeId() {
        return node.nodeId();
    }

    /**
     * Tells whether the node has left or was declared dead.
     *
     * @return false for members that messages may be sent to
     */
    public boolean isGone() {
        return state == State.LEFT || liveness == Liveness.DEAD;
    }

    /**
     * Returns a copy of this record with other addresses.
     *
     * @param newAddresses addresses that the node listens on
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
