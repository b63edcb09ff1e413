package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of an application server. The query of a request says how long it works ({@code ms}) and
 * how long its body is ({@code bytes}).
 */
final class App implements AutoCloseable {
    private final ServerSocket mServer;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final Rec mRec;
    private final long mBorn = System.currentTimeMillis();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private InetSocketAddress mControl;
    private volatile boolean mLeaving;
    private long mSequence;

    App(String ip, String id, String service, String zone, Rec rec) throws IOException {
        mServer = new ServerSocket(0, 256, InetAddress.getByName(ip));
        mId = id;
        mService = service;
        mZone = zone;
        mRec = rec;
        Threads.start("app", this::acceptAll);
    }

    String service() {
        return mService;
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    /** Starts the heartbeats to the node beside this server. */
    void beatTo(InetSocketAddress control) {
        mControl = control;
        Threads.start("beats", this::beat);
    }

    private void beat() {
        while (!mServer.isClosed() && !mLeaving) {
            Threads.sleep(call("Heartbeat", heartbeat()) ? 1_500 : 300);
        }
    }

    /** Returns the next heartbeat, to be sent now or late. */
    synchronized String heartbeat() {
        return "{\"service\":\"" + mService + "\",\"address\":\"" + address() + "\",\"zone\":\"" + mZone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemaining\":\"0ms\","
                + "\"sequence\":" + ++mSequence + ",\"born\":" + mBorn + "}";
    }

    /** Sends a heartbeat that was made earlier. */
    void beatLate(String heartbeat) {
        mRec.line(
                "server " + mId + ": late heartbeat " + heartbeat + ", acknowledged: "
                        + call("Heartbeat", heartbeat));
    }

    /** A heartbeat that names a service which no configuration names comes to this server's node. */
    void beatOfAnotherWriter() {
        String heartbeat =
                "{\"service\":\"nosuch\",\"address\":\"127.0.0.99:9\",\"zone\":\"" + mZone
                        + "\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\",\"coldRemaining\":\"0ms\","
                        + "\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}";
        String path = "/-/Instances.Heartbeat/i-other";
        mRec.line("another writer: " + path + " " + heartbeat + ", answered 200: " + send(path, heartbeat));
    }

    /** Deregisters without a word before, and goes on serving. */
    boolean deregister() {
        mLeaving = true;
        boolean acknowledged = call("Deregister", "{\"born\":" + mBorn + "}");
        mRec.line("server " + mId + ": deregisters, acknowledged: " + acknowledged);
        return acknowledged;
    }

    private boolean call(String name, String body) {
        return send("/-/Instances." + name + "/" + mId, body);
    }

    private boolean send(String path, String body) {
        try (Socket s = new Socket()) {
            s.setSoTimeout(1_000);
            s.connect(mControl, 1_000);
            s.getOutputStream()
                    .write(
                            Http.format(
                                    "POST " + path + " HTTP/1.1",
                                    body.getBytes(StandardCharsets.UTF_8),
                                    "Host",
                                    "control",
                                    "Content-Type",
                                    "application/json"));
            Http.Message m = Http.read(s.getInputStream());
            return m != null && m.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void acceptAll() {
        while (!mServer.isClosed()) {
            try {
                Socket s = mServer.accept();
                s.setTcpNoDelay(true);
                mSockets.add(s);
                Threads.start("app-connection", () -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            for (Http.Message m = Http.read(s.getInputStream());
                    m != null;
                    m = Http.read(s.getInputStream())) {
                s.getOutputStream().write(answer(m));
                s.getOutputStream().flush();
            }
        } catch (IOException e) {
            mRec.line("server " + mId + ": connection ended: " + e.getMessage());
        } finally {
            mSockets.remove(s);
        }
    }

    private byte[] answer(Http.Message m) {
        String id = m.field("azurestage-attempt-id");
        if (m.target().equals("/health")) {
            return Http.format("HTTP/1.1 200 OK", new byte[0], "Azurestage-Instance-Id", mId);
        }
        String wanted = m.field("azurestage-target-instance");
        if (!wanted.isEmpty() && !wanted.equals(mId)) {
            return Http.format(
                    "HTTP/1.1 421 Misdirected Request",
                    new byte[0],
                    "Azurestage-Not-Executed",
                    "1",
                    "Azurestage-Attempt-Id",
                    id);
        }
        mRec.line("server " + mId + " (" + mService + ") runs " + id + " " + m.target());
        Threads.sleep(number(m.target(), "ms"));
        byte[] body = new byte[(int) number(m.target(), "bytes")];
        java.util.Arrays.fill(body, (byte) 'x');
        mRec.line("server " + mId + " answers " + id + ": 200, " + body.length + " bytes");
        return Http.format(
                "HTTP/1.1 200 OK",
                body,
                "Azurestage-Attempt-Id",
                id,
                "Server-Name",
                mId,
                "Azurestage-Response-Signature",
                mService + "." + id);
    }

    private static long number(String target, String name) {
        int at = target.indexOf(name + "=");
        if (at < 0) {
            return 0;
        }
        String rest = target.substring(at + name.length() + 1);
        int end = rest.indexOf('&');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket s : mSockets) {
            s.close();
        }
    }
}
