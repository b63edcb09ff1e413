package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it. A drill takes it away and
 * brings it back from a copy: the revision of the copy is given out again, and the header Store-Era
 * rises by one.
 */
final class Kv implements AutoCloseable {
    private record Item(String key, String value, long rev, long createdRev, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":" + Json.quote(value) + ",\"rev\":"
                    + rev + ",\"createdRev\":" + createdRev + ",\"leaseId\":" + lease + "}";
        }
    }

    private record Event(String key, long rev, Item item) {
        String json() {
            return item != null
                    ? item.json()
                    : "{\"key\":" + Json.quote(key) + ",\"rev\":" + rev + ",\"isDeleted\":true}";
        }
    }

    private record Lease(long ttlMillis, long endsNanos) {}

    /** A connection, which may go silent for good. */
    private static final class Connection {
        final Socket mSocket;
        volatile long mLastByteNanos = System.nanoTime();
        volatile boolean mSilent;

        Connection(Socket socket) {
            mSocket = socket;
        }
    }

    /** All that the store holds. */
    private static final class State {
        final TreeMap<String, Item> mItems = new TreeMap<>();
        final Map<Long, Lease> mLeases = new HashMap<>();
        final List<Event> mHistory = new ArrayList<>();
        long mRev = 10;
        long mNextLease = 77000;

        State copy() {
            State s = new State();
            s.mItems.putAll(mItems);
            s.mLeases.putAll(mLeases);
            s.mHistory.addAll(mHistory);
            s.mRev = mRev;
            s.mNextLease = mNextLease;
            return s;
        }
    }

    private final ServerSocket mServer;
    private final Rec mRec;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
    private State mState = new State();
    private State mCopy;
    private long mEra = 1;
    private boolean mAway;
    private boolean mClosed;

    Kv(String ip, Rec rec) throws IOException {
        mRec = rec;
        mServer = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("kv", this::acceptAll);
        Threads.start("kv-leases", this::endLeases);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    /** Writes as the operator does; the return is the acknowledgement. */
    synchronized long operatorPut(String key, String text) {
        String value =
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        put(key, value, 0);
        notifyAll();
        return mState.mRev;
    }

    synchronized List<String> keys(String prefix) {
        return mState.mItems.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    /** Takes the copy that a drill brings back. */
    synchronized void takeCopy() {
        mCopy = mState.copy();
        mRec.line("store: copy taken at rev " + mState.mRev);
    }

    /** The store is away: what is sent to it stays without an answer, on these connections for good. */
    synchronized void leave() {
        mAway = true;
        silence(0);
        mRec.line("store: away at rev " + mState.mRev);
    }

    /** Brings the store back from the copy; {@code first} are the first calls that it serves. */
    synchronized void comeBack(Runnable first) {
        State s = mCopy.copy();
        s.mLeases.replaceAll(
                (id, l) -> new Lease(l.ttlMillis, System.nanoTime() + l.ttlMillis * 1_000_000));
        mState = s;
        mEra++;
        mAway = false;
        silence(0);
        mRec.line("store: back from the copy at rev " + mState.mRev + ", Store-Era " + mEra);
        first.run();
        notifyAll();
    }

    /**
     * Lets the connections go silent for good on which nothing has been sent for some time, as a
     * firewall does that forgets idle connections. Connections that are opened later work.
     */
    synchronized int silence(long idleMillis) {
        long now = System.nanoTime();
        int count = 0;
        for (Connection c : mConnections) {
            if (!c.mSilent && now - c.mLastByteNanos >= idleMillis * 1_000_000) {
                c.mSilent = true;
                count++;
            }
        }
        notifyAll();
        return count;
    }

    private void put(String key, String value, long lease) {
        mState.mRev++;
        Item before = mState.mItems.get(key);
        long created = before == null ? mState.mRev : before.createdRev;
        Item item = new Item(key, value, mState.mRev, created, lease);
        mState.mItems.put(key, item);
        mState.mHistory.add(new Event(key, mState.mRev, item));
    }

    private void remove(String key) {
        if (mState.mItems.remove(key) != null) {
            mState.mRev++;
            mState.mHistory.add(new Event(key, mState.mRev, null));
        }
    }

    private void endLeases() {
        while (!mServer.isClosed()) {
            Threads.sleep(50);
            synchronized (this) {
                if (mAway) {
                    continue;
                }
                long now = System.nanoTime();
                List<Long> ended =
                        mState.mLeases.entrySet().stream()
                                .filter(e -> e.getValue().endsNanos - now < 0)
                                .map(Map.Entry::getKey)
                                .toList();
                ended.forEach(this::endLease);
                if (!ended.isEmpty()) {
                    notifyAll();
                }
            }
        }
    }

    private void endLease(long id) {
        mState.mLeases.remove(id);
        List<String> keys =
                mState.mItems.values().stream()
                        .filter(i -> i.lease == id)
                        .map(Item::key)
                        .toList();
        keys.forEach(this::remove);
    }

    private void acceptAll() {
        while (!mServer.isClosed()) {
            try {
                Connection c = new Connection(mServer.accept());
                c.mSocket.setTcpNoDelay(true);
                mConnections.add(c);
                Threads.start("kv-connection", () -> serve(c));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Connection c) {
        try (Socket s = c.mSocket) {
            InputStream in = s.getInputStream();
            for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
                c.mLastByteNanos = System.nanoTime();
                byte[] answer = answer(m, c);
                if (answer == null) {
                    // Nothing more is written, and what comes is ignored until the peer closes.
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                s.getOutputStream().write(answer);
                s.getOutputStream().flush();
                c.mLastByteNanos = System.nanoTime();
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } finally {
            mConnections.remove(c);
        }
    }

    private boolean isSilent(Connection c) {
        return mAway || c.mSilent;
    }

    private synchronized byte[] answer(Http.Message m, Connection c) {
        if (isSilent(c)) {
            return null;
        }
        String path = m.target().split("\\?")[0];
        Map<String, String> query = query(m.target());
        Map<String, Object> body =
                m.body.length == 0 ? Map.of() : Json.object(Json.parse(m.text()));
        if (path.equals("/-/kv-key")) {
            Item i = mState.mItems.get(query.get("key"));
            return i == null
                    ? reply(404, "{}")
                    : reply(200, i.json().replaceAll("}$", ",\"atRev\":" + mState.mRev + "}"));
        }
        if (path.equals("/-/kv-range")) {
            return range(query.get("prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/-/kv-watch")) {
            return watch(
                    query.get("prefix"),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("waitMs")),
                    c);
        }
        if (path.equals("/-/kv-txn")) {
            return transact(body);
        }
        if (path.equals("/-/kv-lease")) {
            String ttl = String.valueOf(body.get("ttl_time"));
            long id = ++mState.mNextLease;
            mState.mLeases.put(id, lease(millis(ttl)));
            return reply(200, "{\"leaseId\":" + id + ",\"ttl_time\":" + Json.quote(ttl) + "}");
        }
        if (path.startsWith("/-/kv-keep/")) {
            long id = Long.parseLong(path.substring("/-/kv-keep/".length()));
            Lease l = mState.mLeases.get(id);
            if (l == null) {
                return reply(404, "{}");
            }
            mState.mLeases.put(id, lease(l.ttlMillis));
            return reply(200, "{\"ttl_time\":\"" + l.ttlMillis + "ms\"}");
        }
        if (path.startsWith("/-/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
            notifyAll();
            return reply(200, "{}");
        }
        return reply(404, "{}");
    }

    private static Lease lease(long millis) {
        return new Lease(millis, System.nanoTime() + millis * 1_000_000);
    }

    private byte[] range(String prefix, String after) {
        StringBuilder s = new StringBuilder("{\"items\":[");
        String separator = "";
        for (Item i : mState.mItems.tailMap(prefix).values()) {
            if (!i.key.startsWith(prefix)) {
                break;
            }
            if (i.key.compareTo(after) > 0) {
                s.append(separator).append(i.json());
                separator = ",";
            }
        }
        return reply(200, s + "],\"hasMore\":false,\"atRev\":" + mState.mRev + "}");
    }

    private byte[] watch(String prefix, long after, long waitMillis, Connection c) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        if (after > mState.mRev) {
            mRec.line("store: watch of " + prefix + " after " + after + " gets 410");
            return reply(410, "{}");
        }
        while (true) {
            if (isSilent(c)) {
                return null;
            }
            List<String> events =
                    mState.mHistory.stream()
                            .filter(e -> e.rev > after && e.key.startsWith(prefix))
                            .map(Event::json)
                            .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0 || mClosed) {
                return reply(
                        200,
                        "{\"events\":["
                                + String.join(",", events)
                                + "],\"atRev\":"
                                + mState.mRev
                                + "}");
            }
            try {
                wait(Math.min(left, 200));
            } catch (InterruptedException e) {
                return null;
            }
        }
    }

    private byte[] transact(Map<String, Object> body) {
        StringBuilder current = new StringBuilder();
        boolean holds = true;
        for (Object row : Json.list(body.get("precondition"))) {
            String key = (String) Json.object(row).get("key");
            Item i = mState.mItems.get(key);
            long rev = i == null ? 0 : i.rev;
            holds &= rev == (Long) Json.object(row).get("rev");
            if (i != null) {
                current.append(current.length() > 0 ? "," : "").append(i.json());
            }
        }
        if (!holds) {
            return reply(412, "{\"items\":[" + current + "]}");
        }
        for (Object row : Json.list(body.get("puts"))) {
            long lease = (Long) Json.object(row).getOrDefault("leaseId", 0L);
            if (lease != 0 && !mState.mLeases.containsKey(lease)) {
                return reply(404, "{}");
            }
        }
        for (Object row : Json.list(body.get("puts"))) {
            Map<String, Object> p = Json.object(row);
            put(
                    (String) p.get("key"),
                    (String) p.get("value"),
                    (Long) p.getOrDefault("leaseId", 0L));
            mRec.line("store: rev " + mState.mRev + " " + p.get("key"));
        }
        Json.list(body.get("remove")).forEach(k -> remove((String) k));
        notifyAll();
        return reply(200, "{\"rev\":" + mState.mRev + "}");
    }

    private byte[] reply(int status, String json) {
        return Http.format(
                "HTTP/1.1 " + status + " X",
                json.getBytes(StandardCharsets.UTF_8),
                "Content-Type",
                "application/json",
                "Store-Era",
                Long.toString(mEra));
    }

    private static long millis(String text) {
        return text.endsWith("ms")
                ? (long) Double.parseDouble(text.substring(0, text.length() - 2))
                : (long) (1000 * Double.parseDouble(text.substring(0, text.length() - 1)));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] p = pair.split("=", 2);
                query.put(p[0], URLDecoder.decode(p[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public synchronized void close() throws IOException {
        mClosed = true;
        mServer.close();
        for (Connection c : mConnections) {
            c.mSocket.close();
        }
        notifyAll();
    }
}
