package io.azurestage.core.admission;

import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Listed in KNOWN-RED.txt. The name keeps it out of the ordinary build. */
class SlowServiceKnownRed {
    // Guards against goals that hold only where many requests a second steady the estimates.
    @Property(seed = "42", generation = GenerationMode.EXHAUSTIVE)
    void goalsHoldWithLongServiceTimes(@ForAll @IntRange(max = 8) int size) {
        OverloadTest.check(size, 200);
    }
}
