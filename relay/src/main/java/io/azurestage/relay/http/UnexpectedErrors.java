package io.azurestage.relay.http;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Logs unexpected failures of connections, but not I/O and protocol errors caused by the peer. */
public final class UnexpectedErrors {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private UnexpectedErrors() {}

    /**
     * Logs a failure unless the peer caused it.
     *
     * @param cause exception that ends the connection
     */
    public static void log(Throwable cause) {
        if (!(cause instanceof IOException) && !(cause instanceof DecoderException)) {
            LOGGER.atWarning().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
                    "closing a connection after an unexpected exception");
        }
    }
}
