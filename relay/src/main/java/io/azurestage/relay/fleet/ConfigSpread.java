package io.azurestage.relay.fleet;

import io.azurestage.core.routing.RendezvousHash;
import io.azurestage.relay.link.LinkClient;
import io.azurestage.store.PlatformStore;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Distributes a new configuration to all nodes although connections to the store have fallen
 * silent, without frequent calls of each. A few designated nodes check their watches often, and
 * announce a version that they have read to the others; a node that has received a version
 * announces it to a few more. Confined to the event loop.
 */
public final class ConfigSpread {
    /** Nodes that check their watches often: two may be lost at the same time. */
    static final int DESIGNATED_NODES = 3;

    /**
     * With the time until a call counts as lost, another listing and the delay below, the others
     * receive a version within 3 s after the connections have fallen silent.
     */
    static final Duration CHECK_INTERVAL = Duration.ofMillis(1_500);

    /** Interval of the other nodes, longer than any call waits. */
    private static final Duration UNCHECKED = Duration.ofMinutes(1);

    /** Nodes whose watches work have read the version by then, and need not fetch it. */
    private static final long ANNOUNCEMENT_DELAY_MILLIS = 250;

    /** Nodes to which a designated node announces a version. */
    private static final int DESIGNATED_FAN_OUT = 64;

    /** Nodes to which another node that has received a version announces it. */
    private static final int FAN_OUT = 8;

    /** Time after which a watch that has not reported a version that is in the store is silent. */
    private static final long WATCH_DELAY_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final PlatformStore mStore;
    private final String mPrefix;
    private final String mOwnAddress;
    private final Function<String, LinkClient> mLinks;
    private final Random mRandom;
    private List<String> mOthers = List.of();
    private boolean mDesignated;

    /**
     * Creates an instance for a node that does not know any others.
     *
     * @param loop event loop
     * @param store the platform's store
     * @param prefix prefix of the configuration's key
     * @param ownAddress link address of this node
     * @param links returns the link to the node at an address
     * @param random chooses the nodes for announcements
     */
    public ConfigSpread(
            EventLoop loop,
            PlatformStore store,
            String prefix,
            String ownAddress,
            Function<String, LinkClient> links,
            Random random) {
        mLoop = loop;
        mStore = store;
        mPrefix = prefix;
        mOwnAddress = ownAddress;
        mLinks = links;
        mRandom = random;
        designate(true);
    }

    /**
     * Applies a change of the known nodes.
     *
     * @param addresses link addresses of all nodes
     */
    public void setNodes(Set<String> addresses) {
        mOthers = addresses.stream().filter(a -> !a.equals(mOwnAddress)).toList();
        List<String> chosen = RendezvousHash.choose(mPrefix, addresses, DESIGNATED_NODES);
        designate(chosen.size() < DESIGNATED_NODES || chosen.contains(mOwnAddress));
    }

    private void designate(boolean designated) {
        if (mDesignated != designated) {
            mDesignated = designated;
            mStore.checkWatches(mPrefix, designated ? CHECK_INTERVAL : UNCHECKED);
        }
    }

    /** Handles a version that was read from the store. */
    void onRead() {
        if (mDesignated) {
            mLoop.schedule(
                    () -> announce(DESIGNATED_FAN_OUT),
                    ANNOUNCEMENT_DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Handles a version that another node has sent.
     *
     * @param version the version
     * @param read supplies the highest version that this node has read from the store
     * @param onSilent runs if the watch of this node does not report the version soon
     */
    void onReceived(long version, LongSupplier read, Runnable onSilent) {
        announce(FAN_OUT);
        mLoop.schedule(
                () -> {
                    if (read.getAsLong() < version) {
                        onSilent.run();
                    }
                },
                WATCH_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Announces the version in force; nodes that have an older one fetch it. */
    private void announce(int count) {
        List<String> nodes = mOthers;
        if (nodes.size() > count) {
            nodes = new ArrayList<>(nodes);
            Collections.shuffle(nodes, mRandom);
            nodes = nodes.subList(0, count);
        }
        nodes.forEach(a -> mLinks.apply(a).announceVersion());
    }
}
