package io.azurestage.client;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A call that is configured step by step and sent once. Not thread-safe.
 *
 * <p>Methods other than GET, HEAD and OPTIONS count as non-idempotent and get a ticket, unless
 * {@link #idempotent(boolean)} says otherwise.
 */
public final class Call {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(2);

    private final String mService;
    private final Function<CallSpec, CompletableFuture<CallResult>> mSender;
    private final Map<String, String> mHeaders = new HashMap<>();
    private String mMethod = "GET";
    private String mPath = "/";
    private byte[] mBody = new byte[0];
    private Duration mDeadline = DEFAULT_DEADLINE;
    private Boolean mIdempotent;
    private String mTicket = "";
    private BodySink mSink;

    Call(String service, Function<CallSpec, CompletableFuture<CallResult>> sender) {
        mService = Objects.requireNonNull(service, "service");
        mSender = sender;
    }

    /**
     * Sets the method and the path.
     *
     * @param method HTTP method; GET if never set
     * @param path path with an optional query, starting with a slash
     * @return this call
     * @throws IllegalArgumentException if the path is not valid in a URI
     */
    public Call request(String method, String path) {
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("path must start with a slash: " + path);
        }
        URI.create("http://entry" + path);
        mMethod = method.toUpperCase(Locale.ROOT);
        mPath = path;
        return this;
    }

    /**
     * Sets the body. It is kept until the call ends, because a lost response may need a retry.
     *
     * @param body bytes, not copied
     * @return this call
     */
    public Call body(byte[] body) {
        mBody = Objects.requireNonNull(body, "body");
        return this;
    }

    /**
     * Adds a header for the service. A later value replaces an earlier one.
     *
     * @param name header name
     * @param value header value
     * @return this call
     */
    public Call header(String name, String value) {
        mHeaders.put(name, value);
        return this;
    }

    /**
     * Sets the time limit of the call, counted from {@link #send()}.
     *
     * @param deadline at least 1 ms; 2 s if never set
     * @return this call
     */
    public Call deadline(Duration deadline) {
        if (deadline.toMillis() < 1) {
            throw new IllegalArgumentException("deadline must be at least 1 ms, not " + deadline);
        }
        mDeadline = deadline;
        return this;
    }

    /**
     * Asks for a lower class of work than the one in the configuration.
     *
     * @param workClass class of work
     * @return this call
     */
    public Call workClass(CallClass workClass) {
        return header("Azurestage-Class", workClass.name());
    }

    /**
     * Sets whether running the call twice has the same effect as running it once.
     *
     * @param idempotent false to send the call with a ticket
     * @return this call
     */
    public Call idempotent(boolean idempotent) {
        mIdempotent = idempotent;
        return this;
    }

    /**
     * Uses a ticket that was fetched before, for example to retry a call of an earlier process.
     *
     * @param ticket ticket that a node has issued for the service of this call
     * @return this call
     */
    public Call ticket(String ticket) {
        mTicket = Objects.requireNonNull(ticket, "ticket");
        return this;
    }

    /**
     * Sets the sink for a response body that is longer than the buffer limit of the client. Without
     * a sink, a call with such a response fails.
     *
     * @param sink receives the whole body, from its first byte
     * @return this call
     */
    public Call sink(BodySink sink) {
        mSink = sink;
        return this;
    }

    /**
     * Sends the call.
     *
     * @return completes normally with the result, at the latest shortly after the deadline
     */
    public CompletableFuture<CallResult> send() {
        boolean idempotent = mIdempotent != null ? mIdempotent : SAFE_METHODS.contains(mMethod);
        return mSender.apply(
                new CallSpec(
                        mService,
                        mMethod,
                        mPath,
                        Map.copyOf(mHeaders),
                        mBody,
                        mDeadline,
                        !idempotent,
                        mTicket,
                        mSink));
    }
}
