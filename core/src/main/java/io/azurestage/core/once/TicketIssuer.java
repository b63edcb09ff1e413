package io.azurestage.core.once;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.time.TimeSource;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/** Issues tickets with fresh nonces. Thread-safe if the random source is. */
public final class TicketIssuer {
    /** Default validity of a ticket. */
    public static final Duration DEFAULT_WINDOW = Duration.ofMinutes(10);

    private static final int NONCE_BYTES = 16;

    private final TimeSource mTime;
    private final RandomGenerator mRandom;
    private final Duration mWindow;

    /**
     * Creates an issuer.
     *
     * @param time source of time
     * @param random source of nonces; use {@link java.security.SecureRandom}, because two tickets
     *     with the same nonce would be treated as the same request
     * @param window validity of a ticket, positive
     */
    public TicketIssuer(TimeSource time, RandomGenerator random, Duration window) {
        if (window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("window must be positive, not " + window);
        }
        mTime = time;
        mRandom = random;
        mWindow = window;
    }

    /**
     * Issues a ticket.
     *
     * @param owner the only incarnation that may run the request
     * @param service service of the owner's backend server
     * @param partner partner that the ticket is issued to
     * @return a ticket with a new random nonce
     */
    public Ticket issue(NodeIdentity owner, String service, String partner) {
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        return new Ticket(
                owner,
                service,
                partner,
                HexFormat.of().formatHex(nonce),
                mTime.now().plus(mWindow).truncatedTo(ChronoUnit.MILLIS));
    }
}
