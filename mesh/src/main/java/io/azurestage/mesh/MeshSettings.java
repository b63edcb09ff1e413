package io.azurestage.mesh;

import io.azurestage.core.context.Signer;
import io.azurestage.core.membership.Member;
import io.azurestage.core.time.HybridClock;
import io.azurestage.core.time.TimeSource;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Settings of a {@link Mesh}.
 *
 * <p>Example:
 *
 * <pre>{@code
 * MeshSettings settings = MeshSettings.of(self, new Signer(key)).clock(clock);
 * }</pre>
 */
public final class MeshSettings {
    private final Member mSelf;
    private final Signer mSigner;
    private TimeSource mTime = TimeSource.system();
    private RandomGenerator mRandom = RandomGenerator.of("L64X128MixRandom");
    private HybridClock mClock;

    private MeshSettings(Member self, Signer signer) {
        mSelf = self;
        mSigner = signer;
    }

    /**
     * Creates settings with the system clock and a randomly seeded generator.
     *
     * @param self this node's initial record; its control address is opened for UDP and TCP, and
     *     port 0 selects a free port
     * @param signer signs and verifies all messages; all nodes must have the same key
     * @return mutable settings
     */
    public static MeshSettings of(Member self, Signer signer) {
        Address.parse(self.addresses().control())
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "the control address "
                                                + self.addresses().control()
                                                + " is wrong; write IP:PORT"));
        return new MeshSettings(self, Objects.requireNonNull(signer, "signer"));
    }

    /**
     * Sets the source of time for the protocol.
     *
     * @param time a thread-safe time source
     * @return these settings
     */
    public MeshSettings time(TimeSource time) {
        mTime = time;
        return this;
    }

    /**
     * Sets the random number generator. It is used on one thread only.
     *
     * @param random a generator that no other thread uses
     * @return these settings
     */
    public MeshSettings random(RandomGenerator random) {
        mRandom = random;
        return this;
    }

    /**
     * Sets the clock that is read for each message sent and advanced by each message received.
     *
     * @param clock the node's clock
     * @return these settings
     */
    public MeshSettings clock(HybridClock clock) {
        mClock = clock;
        return this;
    }

    Member self() {
        return mSelf;
    }

    Signer signer() {
        return mSigner;
    }

    TimeSource time() {
        return mTime;
    }

    RandomGenerator random() {
        return mRandom;
    }

    HybridClock clock() {
        return mClock != null ? mClock : new HybridClock(mTime);
    }
}
