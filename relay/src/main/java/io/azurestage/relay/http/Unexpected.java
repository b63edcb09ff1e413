package io.azurestage.relay.http;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Logs what should not happen on a connection; peers that break off are no news. */
public final class Unexpected {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private Unexpected() {}

    /**
     * Logs a failure unless the other side caused it.
     *
     * @param cause what ended the connection
     */
    public static void log(Throwable cause) {
        if (!(cause instanceof IOException) && !(cause instanceof DecoderException)) {
            LOGGER.atWarning().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
                    "a connection is closed after an unexpected failure");
        }
    }
}
