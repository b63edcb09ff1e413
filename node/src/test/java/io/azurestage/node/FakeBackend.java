package io.azurestage.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** Backend server that calls the next service, if any, and answers with the names of the chain. */
final class FakeBackend implements AutoCloseable {
    private final AtomicInteger mRuns = new AtomicInteger();
    private final ConcurrentMap<String, AtomicInteger> mRunsByPath = new ConcurrentHashMap<>();
    private volatile Runnable mBeforeRun = () -> {};
    private volatile Behaviour mBehaviour = this::callNext;
    private volatile HostPort mEgress;

    private final Server mServer = new Server();
    private final ServerConnector mConnector = new ServerConnector(mServer);
    private final HttpClient mClient = new HttpClient();
    private final String mName;
    private final String mNext;

    /** Request handler of the backend server. */
    interface Behaviour {
        void handle(Request request, Response response, Callback callback) throws Exception;
    }

    FakeBackend(String name, String next) throws Exception {
        mName = name;
        mNext = next;
        mConnector.setHost("127.0.0.1");
        mServer.addConnector(mConnector);
        mServer.setHandler(
                new Handler.Abstract() {
                    @Override
                    public boolean handle(Request request, Response response, Callback callback)
                            throws Exception {
                        mBeforeRun.run();
                        mRuns.incrementAndGet();
                        String path = request.getHttpURI().getPath();
                        mRunsByPath
                                .computeIfAbsent(path, k -> new AtomicInteger())
                                .incrementAndGet();
                        mBehaviour.handle(request, response, callback);
                        return true;
                    }
                });
        mServer.start();
        mClient.start();
    }

    int runs() {
        return mRuns.get();
    }

    int runs(String path) {
        AtomicInteger n = mRunsByPath.get(path);
        return n == null ? 0 : n.get();
    }

    /** Sets an action that runs after a request has arrived and before it is counted as run. */
    void beforeRun(Runnable action) {
        mBeforeRun = action;
    }

    void behaviour(Behaviour behaviour) {
        mBehaviour = behaviour;
    }

    void egress(HostPort egress) {
        mEgress = egress;
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mConnector.getLocalPort());
    }

    void callNext(Request request, Response response, Callback callback) throws Exception {
        if (mNext.isEmpty()) {
            reply(response, callback, 200, mName);
            return;
        }
        ContentResponse r = next(request).send();
        if (r.getStatus() == 200) {
            reply(response, callback, 200, mName + ">" + r.getContentAsString());
        } else {
            response.getHeaders().put("Content-Type", r.getHeaders().get("Content-Type"));
            reply(response, callback, r.getStatus(), r.getContentAsString());
        }
    }

    /** Answer of a backend server. */
    record Answer(int status, String type, String text) {}

    /** Returns the names and paths of the chain from this service on, or a relayed refusal. */
    Answer chainResponse(Request request) throws Exception {
        String own = mName + request.getHttpURI().getPath();
        if (mNext.isEmpty()) {
            return new Answer(200, "text/plain", own);
        }
        ContentResponse r = next(request).send();
        String text = r.getContentAsString();
        return r.getStatus() == 200
                ? new Answer(200, "text/plain", own + ">" + text)
                : new Answer(r.getStatus(), r.getHeaders().get("Content-Type"), text);
    }

    static void reply(Response response, Callback callback, Answer a) {
        response.getHeaders().put("Content-Type", a.type());
        reply(response, callback, a.status(), a.text());
    }

    /** Calls the next service without waiting for its answer. */
    void callNextIgnoringAnswer(Request request) {
        next(request).send(result -> {});
    }

    private org.eclipse.jetty.client.Request next(Request request) {
        return mClient.newRequest("http://" + mEgress + request.getHttpURI().getPathQuery())
                .method(request.getMethod())
                .headers(
                        h -> {
                            h.put(Headers.CONTEXT, request.getHeaders().get(Headers.CONTEXT));
                            h.put(Headers.SERVICE, mNext);
                        });
    }

    static void reply(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Aborts an answer after its first bytes. */
    static void breakOff(Response response, Callback callback) {
        IOException cause = new IOException("the server breaks off");
        response.getHeaders().put("Content-Length", 100);
        response.write(
                false,
                ByteBuffer.wrap("half".getBytes(StandardCharsets.UTF_8)),
                Callback.from(() -> callback.failed(cause), callback::failed));
    }

    @Override
    public void close() throws Exception {
        mClient.stop();
        mServer.stop();
    }
}
