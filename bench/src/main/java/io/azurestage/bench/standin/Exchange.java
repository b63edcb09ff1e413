package io.azurestage.bench.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Processes one request at a stand-in backend, from arrival to the end of the response. */
final class Exchange {
    private static final List<String> PROPAGATED_HEADERS =
            List.of(
                    RequestKey.KEY_HEADER,
                    RequestKey.PARTNER_HEADER,
                    RequestKey.CLASS_HEADER,
                    "Azurestage-Context");
    private static final int BAD_GATEWAY = 502;
    private static final String PROBLEM_JSON = "application/problem+json";

    private final StandInBackend mBackend;
    private final BackendSpec mSpec;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final byte[] mPayload;
    private final RequestKey mKey;
    private long mServiceNanos;

    Exchange(
            StandInBackend backend,
            Request request,
            Response response,
            Callback callback,
            byte[] payload) {
        mBackend = backend;
        mSpec = backend.spec();
        mRequest = request;
        mResponse = response;
        mCallback = callback;
        mPayload = payload;
        mKey = RequestKey.read(request.getHeaders());
    }

    void run() {
        mBackend.ledger().recordArrival(mSpec.service(), mKey);
        if (mBackend.faults().refuseRequests()) {
            BackendHandler.refuse(mResponse, mCallback, "the server sheds load");
            return;
        }
        mBackend.requestAccepted();
        if (!mBackend.slots().submit(this::start)) {
            mBackend.requestEnded();
            BackendHandler.refuse(mResponse, mCallback, "the queue is full");
        }
    }

    private void start() {
        mBackend.executionStarted();
        mBackend.ledger().recordStart(mSpec.service(), mKey);
        mServiceNanos = mBackend.sampleServiceNanos();
        mBackend.runtime().after(mServiceNanos, this::onServiceTimeElapsed);
    }

    private void onServiceTimeElapsed() {
        mBackend.ledger().recordWork(mSpec.service(), mKey, mServiceNanos);
        if (Request.getPathInContext(mRequest).startsWith(PatternFile.PATH)) {
            new PatternFile(mSpec.patternBytes(), mSpec.service().hashCode())
                    .respond(
                            mRequest,
                            mResponse,
                            Callback.from(this::releaseSlot, mCallback),
                            mBackend.drawFault(mBackend.faults().truncate()));
            return;
        }
        if (mSpec.next().isEmpty()) {
            respond(List.of());
        } else if (mSpec.parallel()) {
            callInParallel();
        } else {
            callSequentially(0, new ArrayList<>());
        }
    }

    private void callSequentially(int index, List<Reply> replies) {
        if (index == mSpec.next().size()) {
            respond(replies);
            return;
        }
        call(mSpec.next().get(index))
                .thenAccept(
                        reply -> {
                            replies.add(reply);
                            if (reply.ok()) {
                                callSequentially(index + 1, replies);
                            } else {
                                respond(replies);
                            }
                        });
    }

    private void callInParallel() {
        List<CompletableFuture<Reply>> calls = mSpec.next().stream().map(this::call).toList();
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenRun(() -> respond(calls.stream().map(CompletableFuture::join).toList()));
    }

    private CompletableFuture<Reply> call(String service) {
        Map<String, String> headers = new HashMap<>();
        for (String name : PROPAGATED_HEADERS) {
            String value = mRequest.getHeaders().get(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        DownstreamCall call =
                new DownstreamCall(
                        service,
                        mRequest.getMethod(),
                        Request.getPathInContext(mRequest),
                        headers,
                        mPayload);
        return mBackend.downstream().call(call);
    }

    private void respond(List<Reply> replies) {
        releaseSlot();
        for (Reply reply : replies) {
            if (!reply.ok()) {
                forwardFailure(reply);
                return;
            }
        }
        byte[] body =
                Echo.format(
                        mSpec.service(),
                        mKey,
                        mPayload,
                        replies.stream().map(Reply::body).toList());
        if (mBackend.drawFault(mBackend.faults().dropResponses())) {
            closeConnection();
        } else if (mBackend.drawFault(mBackend.faults().truncate())) {
            truncate(body);
        } else {
            BackendHandler.respond(mResponse, mCallback, 200, "text/plain", body);
        }
    }

    private void releaseSlot() {
        mBackend.requestEnded();
        mBackend.slots().release();
    }

    /**
     * Responds with a downstream failure. A node's refusal (a problem document) is forwarded
     * unchanged, as it tells the caller whether and when to retry.
     */
    private void forwardFailure(Reply reply) {
        if (reply.contentType().startsWith(PROBLEM_JSON)) {
            BackendHandler.respond(
                    mResponse, mCallback, reply.status(), PROBLEM_JSON, reply.body());
            return;
        }
        String reason = "downstream call failed: " + reply.status() + " " + reply.reason();
        BackendHandler.respond(
                mResponse, mCallback, BAD_GATEWAY, "text/plain", BackendHandler.utf8(reason));
    }

    private void closeConnection() {
        mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
        mCallback.failed(new IOException("response dropped by an injected fault"));
    }

    private void truncate(byte[] body) {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
        // Failing a committed response makes the server close the connection.
        Runnable abort =
                () -> mCallback.failed(new IOException("response truncated by an injected fault"));
        mResponse.write(false, half, Callback.from(abort));
    }
}
