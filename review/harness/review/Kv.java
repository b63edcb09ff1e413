package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's metadata store: keys, leases, transactions and long-poll watches. */
final class Kv {
    private record Item(String key, byte[] value, long rev, long createdRev, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\""
                    + Base64.getEncoder().encodeToString(value) + "\",\"rev\":" + rev
                    + ",\"createdRev\":" + createdRev + ",\"leaseId\":" + lease + "}";
        }
    }

    private record Event(long rev, String key, String json) {}

    private static final class Lease {
        long ttlNanos;
        long endNanos;
    }

    private static final Pattern ROW =
            Pattern.compile("\"key\":\"([^\"]*)\",\"rev\":(-?\\d+)");
    private static final Pattern PUT =
            Pattern.compile(
                    "\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"leaseId\":(\\d+)");
    private static final Pattern TTL = Pattern.compile("\"ttl_time\":\"([0-9.]+)(ms|s)\"");

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private long nextLease = 1000;

    Kv() throws IOException {
        server = HttpServer.create(
                new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
        Thread t = new Thread(this::expireLeases, "store-leases");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized long put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
        return revision;
    }

    /** Returns the value of a key, or null. */
    synchronized String get(String key) {
        Item i = items.get(key);
        return i == null ? null : new String(i.value, StandardCharsets.UTF_8);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item old = items.get(key);
        Item i = new Item(key, value, revision, old == null ? revision : old.createdRev, lease);
        items.put(key, i);
        events.add(new Event(revision, key, i.json()));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(revision, key,
                    "{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"isDeleted\":true}"));
        }
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream()
                        .filter(e -> now - e.getValue().endNanos > 0)
                        .map(Map.Entry::getKey).toList();
                for (long id : ended) {
                    endLease(id);
                }
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(i -> i.lease == id).map(Item::key).toList();
        keys.forEach(this::delete);
        notifyAll();
    }

    private static Map<String, String> query(HttpExchange x) {
        Map<String, String> q = new HashMap<>();
        String raw = x.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int eq = part.indexOf('=');
                q.put(part.substring(0, eq),
                        URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return q;
    }

    private void handle(HttpExchange x) throws IOException {
        String path = x.getRequestURI().getPath();
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> q = query(x);
        try {
            if (path.equals("/-/kv-key")) {
                key(x, q.get("key"));
            } else if (path.equals("/-/kv-range")) {
                range(x, q.get("prefix"), q.get("after"));
            } else if (path.equals("/-/kv-watch")) {
                watch(x, q);
            } else if (path.equals("/-/kv-txn")) {
                txn(x, body);
            } else if (path.equals("/-/kv-lease")) {
                lease(x, body);
            } else if (path.startsWith("/-/kv-keep/")) {
                keep(x, Long.parseLong(path.substring("/-/kv-keep/".length())));
            } else if (path.startsWith("/-/kv-lease-end/")) {
                synchronized (this) {
                    endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
                }
                reply(x, 200, "{}");
            } else {
                reply(x, 404, "{}");
            }
        } catch (InterruptedException e) {
            x.close();
        }
    }

    private void key(HttpExchange x, String key) throws IOException {
        String json = null;
        synchronized (this) {
            Item i = items.get(key);
            if (i != null) {
                String s = i.json();
                json = s.substring(0, s.length() - 1) + ",\"atRev\":" + revision + "}";
            }
        }
        reply(x, json == null ? 404 : 200, json == null ? "{}" : json);
    }

    private void range(HttpExchange x, String prefix, String after) throws IOException {
        String json;
        synchronized (this) {
            String list = String.join(",", items.values().stream()
                    .filter(i -> i.key.startsWith(prefix))
                    .filter(i -> after == null || i.key.compareTo(after) > 0)
                    .map(Item::json).toList());
            json = "{\"items\":[" + list + "],\"hasMore\":false,\"atRev\":" + revision + "}";
        }
        reply(x, 200, json);
    }

    private void watch(HttpExchange x, Map<String, String> q)
            throws IOException, InterruptedException {
        String prefix = q.get("prefix");
        long after = Long.parseLong(q.get("after"));
        long end = System.nanoTime() + Long.parseLong(q.get("waitMs")) * 1_000_000;
        String json;
        synchronized (this) {
            while (true) {
                List<String> found = events.stream()
                        .filter(e -> e.rev > after && e.key.startsWith(prefix))
                        .map(Event::json).toList();
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    json = "{\"events\":[" + String.join(",", found) + "],\"atRev\":"
                            + revision + "}";
                    break;
                }
                wait(left);
            }
        }
        reply(x, 200, json);
    }

    private void txn(HttpExchange x, String body) throws IOException {
        int status = 200;
        String json;
        synchronized (this) {
            int puts = body.indexOf("\"puts\"");
            Matcher rows = ROW.matcher(body.substring(0, puts));
            boolean holds = true;
            String current = "";
            while (rows.find()) {
                Item i = items.get(rows.group(1));
                holds &= (i == null ? 0 : i.rev) == Long.parseLong(rows.group(2));
                current = i == null ? "" : i.json();
            }
            if (holds) {
                Matcher m = PUT.matcher(body.substring(puts));
                while (m.find()) {
                    long lease = Long.parseLong(m.group(3));
                    if (lease != 0 && !leases.containsKey(lease)) {
                        status = 404;
                    } else {
                        write(m.group(1), Base64.getDecoder().decode(m.group(2)), lease);
                    }
                }
                json = "{\"rev\":" + revision + "}";
            } else {
                status = 412;
                json = "{\"items\":[" + current + "]}";
            }
            notifyAll();
        }
        reply(x, status, json);
    }

    private void lease(HttpExchange x, String body) throws IOException {
        Matcher m = TTL.matcher(body);
        m.find();
        double ms = Double.parseDouble(m.group(1)) * (m.group(2).equals("s") ? 1000 : 1);
        long id;
        synchronized (this) {
            id = nextLease++;
            Lease l = new Lease();
            l.ttlNanos = (long) (ms * 1e6);
            l.endNanos = System.nanoTime() + l.ttlNanos;
            leases.put(id, l);
        }
        reply(x, 200, "{\"leaseId\":" + id + ",\"ttl_time\":\"" + (long) ms + "ms\"}");
    }

    private void keep(HttpExchange x, long id) throws IOException {
        Lease l;
        synchronized (this) {
            l = leases.get(id);
            if (l != null) {
                l.endNanos = System.nanoTime() + l.ttlNanos;
            }
        }
        reply(x, l == null ? 404 : 200,
                l == null ? "{}" : "{\"ttl_time\":\"" + l.ttlNanos / 1_000_000 + "ms\"}");
    }

    private static void reply(HttpExchange x, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().add("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }
}
