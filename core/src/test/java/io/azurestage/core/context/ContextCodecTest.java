package io.azurestage.core.context;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.config.WorkClass;
import io.azurestage.core.time.HlcTime;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class ContextCodecTest {
    private static final NodeIdentity SELF = new NodeIdentity("node-a", 7);
    private static final NodeIdentity OTHER = new NodeIdentity("node-a", 8);

    private final Signer mSigner = signer("0123456789abcdef");
    private final ContextCodec mCodec = new ContextCodec(mSigner, SELF);

    @Group
    class Accepts {
        // Guards against fields that are lost or changed between two hops.
        @Property(seed = "11", tries = 200)
        void contextsSignedForThisIncarnation(
                @ForAll long high,
                @ForAll long low,
                @ForAll @IntRange(max = 100) int allowance,
                @ForAll @IntRange(max = 32) int depth,
                @ForAll @LongRange(min = 0, max = 1L << 40) long deadlineMillis,
                @ForAll WorkClass workClass,
                @ForAll boolean repeatable) {
            RequestContext c =
                    new RequestContext(
                            new RequestId(high, low),
                            "hire-house",
                            workClass,
                            Instant.ofEpochMilli(deadlineMillis).plus(5, ChronoUnit.MICROS),
                            allowance,
                            high ^ low,
                            depth,
                            0.5,
                            repeatable,
                            false,
                            SELF,
                            new HlcTime(9, 3));
            assertThat(mCodec.decode(mCodec.encode(c))).isEqualTo(new ContextResult.Valid(c));
        }
    }

    @Group
    class Rejects {
        // Guards against a caller that raises its own class, deadline or allowance.
        @Property(seed = "12", tries = 200)
        void contextsWithAnyChangedCharacter(@ForAll @IntRange(max = 200) int position) {
            String text = mCodec.encode(context(SELF));
            int i = position % text.length();
            char changed = text.charAt(i) == 'A' ? 'B' : 'A';
            String forged = text.substring(0, i) + changed + text.substring(i + 1);
            assertThat(mCodec.decode(forged)).isNotInstanceOf(ContextResult.Valid.class);
        }

        // Guards against a context that is replayed at a restarted node.
        @Example
        void contextsForAnotherIncarnation() {
            assertThat(mCodec.decode(mCodec.encode(context(OTHER))))
                    .isEqualTo(new ContextResult.WrongAudience(OTHER));
        }

        @Example
        void contextsSignedWithAnotherKey() {
            ContextCodec otherCodec = new ContextCodec(signer("another key, 16+"), SELF);
            assertThat(mCodec.decode(otherCodec.encode(context(SELF))))
                    .isEqualTo(new ContextResult.Forged());
        }

        @Example
        void malformedText() {
            assertThat(mCodec.decode("no context")).isInstanceOf(ContextResult.Malformed.class);
        }
    }

    private static Signer signer(String key) {
        return new Signer(key.getBytes(StandardCharsets.UTF_8));
    }

    private static RequestContext context(NodeIdentity audience) {
        return new RequestContext(
                new RequestId(1, 2),
                "hire-house",
                WorkClass.CRITICAL,
                Instant.EPOCH,
                3,
                4,
                1,
                1,
                false,
                false,
                audience,
                new HlcTime(1, 0));
    }
}
