package io.azurestage.relay;

import io.azurestage.config.WorkClass;
import io.azurestage.relay.call.CallSpec;
import java.util.List;

/** Calls for tests that care about few of their properties. */
public final class TestCalls {
    private TestCalls() {}

    /** A call of a client's request, sent for the first time. */
    public static CallSpec first(
            String service, byte[] body, long deadlineNanos, boolean idempotent) {
        return new CallSpec(
                "id",
                "POST",
                "/x/",
                "h",
                List.of(),
                body,
                deadlineNanos,
                service,
                "op",
                WorkClass.NORMAL,
                0.5,
                1,
                false,
                false,
                false,
                false,
                idempotent,
                "caller");
    }
}
