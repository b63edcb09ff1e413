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

/** One request in progress at a stand-in backend. */
final class Exchange {
    private static final List<String> COPIED_HEADERS =
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
    private long mWorkNanos;

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
        mBackend.ledger().arrived(mSpec.service(), mKey);
        if (mBackend.faults().refuse()) {
            BackendHandler.refuse(mResponse, mCallback, "the server sheds load");
            return;
        }
        mBackend.accepted();
        if (!mBackend.slots().submit(this::start)) {
            mBackend.ended();
            BackendHandler.refuse(mResponse, mCallback, "the queue is full");
        }
    }

    private void start() {
        mBackend.runStarted();
        mBackend.ledger().started(mSpec.service(), mKey);
        mWorkNanos = mBackend.drawServiceNanos();
        mBackend.runtime().after(mWorkNanos, this::worked);
    }

    private void worked() {
        mBackend.ledger().worked(mSpec.service(), mKey, mWorkNanos);
        if (Request.getPathInContext(mRequest).startsWith(PatternFile.PATH)) {
            new PatternFile(mSpec.patternBytes(), mSpec.service().hashCode())
                    .answer(
                            mRequest,
                            mResponse,
                            Callback.from(this::free, mCallback),
                            mBackend.chance(mBackend.faults().truncate()));
            return;
        }
        if (mSpec.next().isEmpty()) {
            finish(List.of());
        } else if (mSpec.parallel()) {
            callAll();
        } else {
            callFrom(0, new ArrayList<>());
        }
    }

    private void callFrom(int index, List<Reply> replies) {
        if (index == mSpec.next().size()) {
            finish(replies);
            return;
        }
        call(mSpec.next().get(index))
                .thenAccept(
                        reply -> {
                            replies.add(reply);
                            if (reply.ok()) {
                                callFrom(index + 1, replies);
                            } else {
                                finish(replies);
                            }
                        });
    }

    private void callAll() {
        List<CompletableFuture<Reply>> calls = mSpec.next().stream().map(this::call).toList();
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenRun(() -> finish(calls.stream().map(CompletableFuture::join).toList()));
    }

    private CompletableFuture<Reply> call(String service) {
        Map<String, String> headers = new HashMap<>();
        for (String name : COPIED_HEADERS) {
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

    private void finish(List<Reply> replies) {
        free();
        for (Reply reply : replies) {
            if (!reply.ok()) {
                passOnFailure(reply);
                return;
            }
        }
        byte[] body =
                Echo.answer(
                        mSpec.service(),
                        mKey,
                        mPayload,
                        replies.stream().map(Reply::body).toList());
        if (mBackend.chance(mBackend.faults().lose())) {
            closeConnection();
        } else if (mBackend.chance(mBackend.faults().truncate())) {
            truncate(body);
        } else {
            BackendHandler.answer(mResponse, mCallback, 200, "text/plain", body);
        }
    }

    private void free() {
        mBackend.ended();
        mBackend.slots().release();
    }

    /** Passes a refusal of a node on as it is, so that the caller learns what to do. */
    private void passOnFailure(Reply reply) {
        if (reply.contentType().startsWith(PROBLEM_JSON)) {
            BackendHandler.answer(mResponse, mCallback, reply.status(), PROBLEM_JSON, reply.body());
            return;
        }
        String why = "downstream call failed: " + reply.status() + " " + reply.reason();
        BackendHandler.answer(
                mResponse, mCallback, BAD_GATEWAY, "text/plain", BackendHandler.bytes(why));
    }

    private void closeConnection() {
        mRequest.getConnectionMetaData().getConnection().getEndPoint().close();
        mCallback.failed(new IOException("answer lost on purpose"));
    }

    private void truncate(byte[] body) {
        mResponse.setStatus(200);
        mResponse.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        ByteBuffer half = ByteBuffer.wrap(body, 0, body.length / 2);
        // Failing a committed response makes the server close the connection.
        Runnable abort = () -> mCallback.failed(new IOException("answer truncated on purpose"));
        mResponse.write(false, half, Callback.from(abort));
    }
}
