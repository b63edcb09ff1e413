package io.azurestage.core.admission;

import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Known failure, listed in KNOWN-RED.txt. The regular build excludes tests by this class name. */
class SlowServiceKnownRed {
    // Guards against goals that are met only if many requests per second stabilize the estimates.
    @Property(seed = "42", generation = GenerationMode.EXHAUSTIVE)
    void goalsHoldWithLongServiceTimes(@ForAll @IntRange(max = 8) int size) {
        OverloadTest.checkGoals(size, 200);
    }
}
