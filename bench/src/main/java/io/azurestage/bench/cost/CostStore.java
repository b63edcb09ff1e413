package io.azurestage.bench.cost;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.azurestage.core.route.RequestLimits;
import io.azurestage.relay.http.Exchange;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.HttpListener;
import io.azurestage.relay.http.InboundRequest;
import io.azurestage.relay.http.Reply;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * In-memory stand-in of the platform store. Leases never expire. It may be restored from an older
 * copy, and idle connections may fall silent; otherwise it has no faults. Its state is confined to
 * its event loop.
 */
public final class CostStore {
    private record Item(String value, long rev, long lease) {}

    private record Change(String key, Item item) {}

    private static final class Watch {
        private final String mPrefix;
        private final long mAfter;
        private final Exchange mExchange;
        private final InetSocketAddress mClient;

        Watch(String prefix, long after, Exchange exchange, InetSocketAddress client) {
            mPrefix = prefix;
            mAfter = after;
            mExchange = exchange;
            mClient = client;
        }
    }

    /** State that {@link #restoreCopy} restores. */
    private record Copy(Map<String, Item> items, int changes, long revision) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MultiThreadIoEventLoopGroup mGroup;
    private final HttpListener mListener;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<InetSocketAddress, Long> mLastUseNanos = new HashMap<>();
    private final Set<InetSocketAddress> mSilent = new HashSet<>();
    private Copy mCopy = new Copy(Map.of(), 0, 10);
    private long mRevision = 10;
    private long mLastLeaseId;
    private long mEra = 1;
    private boolean mAway;

    /**
     * Creates an empty store and opens its port on the loopback address.
     *
     * @param group group of the single event loop that runs the store
     */
    public CostStore(MultiThreadIoEventLoopGroup group) {
        mGroup = group;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mListener = HttpListener.open(group, any, RequestLimits::defaults, this::handle);
    }

    /**
     * Returns the address of the store.
     *
     * @return a loopback address
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mListener.port());
    }

    /**
     * Writes a key as an operator would. Call it before the first node starts, or on the event
     * loop.
     *
     * @param key the key
     * @param value the value as text
     */
    public void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        set(key, Base64.getEncoder().encodeToString(bytes), 0);
    }

    /** Takes the copy that {@link #restoreCopy} restores. Call it on the event loop. */
    public void takeCopy() {
        mCopy = new Copy(Map.copyOf(mItems), mChanges.size(), mRevision);
    }

    /** Answers nothing more, on the present connections for good. Call it on the event loop. */
    public void leave() {
        mAway = true;
        silenceIdle(Duration.ZERO);
    }

    /**
     * Answers again, with what the copy has: what was written since is lost, and its revisions are
     * given out again. Call it on the event loop.
     */
    public void restoreCopy() {
        mItems.clear();
        mItems.putAll(mCopy.items);
        mChanges.subList(mCopy.changes, mChanges.size()).clear();
        mRevision = mCopy.revision;
        mEra++;
        mAway = false;
    }

    /**
     * Lets the connections fall silent for good that have been idle for some time, as a firewall
     * does that forgets them. Call it on the event loop.
     *
     * @param idle shortest time without a request or an answer
     */
    public void silenceIdle(Duration idle) {
        long now = System.nanoTime();
        mLastUseNanos.forEach(
                (client, used) -> {
                    if (now - used >= idle.toNanos()) {
                        mSilent.add(client);
                    }
                });
        mWatches.removeIf(w -> mSilent.contains(w.mClient));
    }

    private void handle(InboundRequest r, Exchange x) {
        mLastUseNanos.put(r.remote(), System.nanoTime());
        if (mAway || mSilent.contains(r.remote())) {
            x.onGone(() -> forget(r.remote()));
            return;
        }
        QueryStringDecoder q = new QueryStringDecoder(r.target());
        try {
            switch (q.path().replaceAll("/\\d+$", "")) {
                case "/-/kv-key" -> key(first(q, "key"), x);
                case "/-/kv-range" -> range(first(q, "prefix"), x);
                case "/-/kv-watch" -> watch(q, x, r.remote());
                case "/-/kv-txn" -> txn(MAPPER.readTree(r.body().toByteArray()), x);
                case "/-/kv-lease" -> reply(x, 200, lease(++mLastLeaseId));
                case "/-/kv-keep" -> reply(x, 200, lease(mLastLeaseId));
                default -> x.reply(Reply.text(404, ""));
            }
        } catch (IOException e) {
            x.reply(Reply.text(400, "request body is not valid JSON: " + e.getMessage()));
        }
    }

    private static ObjectNode lease(long id) {
        return MAPPER.createObjectNode().put("leaseId", id).put("ttl_time", "6s");
    }

    private void key(String key, Exchange x) {
        Item item = mItems.get(key);
        if (item == null) {
            x.reply(Reply.text(404, ""));
        } else {
            reply(x, 200, node(key, item).put("atRev", mRevision));
        }
    }

    private void range(String prefix, Exchange x) {
        ObjectNode n = MAPPER.createObjectNode();
        ArrayNode items = n.putArray("items");
        for (Map.Entry<String, Item> e : mItems.tailMap(prefix, true).entrySet()) {
            if (e.getKey().startsWith(prefix)) {
                items.add(node(e.getKey(), e.getValue()));
            }
        }
        reply(x, 200, n.put("hasMore", false).put("atRev", mRevision));
    }

    /** The system may give the address of a closed connection to a new one. */
    private void forget(InetSocketAddress client) {
        mLastUseNanos.remove(client);
        mSilent.remove(client);
    }

    private void watch(QueryStringDecoder q, Exchange x, InetSocketAddress client) {
        x.onGone(() -> forget(client));
        Watch w = new Watch(first(q, "prefix"), Long.parseLong(first(q, "after")), x, client);
        if (w.mAfter > mRevision) {
            x.reply(Reply.text(410, ""));
            return;
        }
        if (replyWithChanges(w, false)) {
            return;
        }
        mWatches.add(w);
        long wait = Long.parseLong(first(q, "waitMs"));
        mGroup.next().schedule(() -> expire(w), wait, TimeUnit.MILLISECONDS);
    }

    private void expire(Watch w) {
        if (mWatches.remove(w)) {
            replyWithChanges(w, true);
        }
    }

    private boolean replyWithChanges(Watch w, boolean replyIfEmpty) {
        ObjectNode n = MAPPER.createObjectNode();
        ArrayNode events = n.putArray("events");
        for (Change c : mChanges) {
            if (c.item.rev > w.mAfter && c.key.startsWith(w.mPrefix)) {
                events.add(node(c.key, c.item));
            }
        }
        if (events.isEmpty() && !replyIfEmpty) {
            return false;
        }
        mLastUseNanos.put(w.mClient, System.nanoTime());
        reply(w.mExchange, 200, n.put("atRev", mRevision));
        return true;
    }

    private void txn(JsonNode body, Exchange x) {
        for (JsonNode p : body.path("precondition")) {
            Item item = mItems.get(p.path("key").asText());
            if ((item == null ? 0 : item.rev) != p.path("rev").asLong()) {
                reply(x, 412, MAPPER.createObjectNode());
                return;
            }
        }
        for (JsonNode p : body.path("puts")) {
            set(p.path("key").asText(), p.path("value").asText(), p.path("leaseId").asLong());
        }
        reply(x, 200, MAPPER.createObjectNode().put("rev", mRevision));
    }

    private void set(String key, String value, long lease) {
        Item item = new Item(value, ++mRevision, lease);
        mItems.put(key, item);
        mChanges.add(new Change(key, item));
        mWatches.removeIf(w -> replyWithChanges(w, false));
    }

    private static ObjectNode node(String key, Item item) {
        return MAPPER.createObjectNode()
                .put("key", key)
                .put("value", item.value)
                .put("rev", item.rev)
                .put("createdRev", item.rev)
                .put("leaseId", item.lease);
    }

    private static String first(QueryStringDecoder q, String name) {
        List<String> values = q.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    private void reply(Exchange x, int status, JsonNode body) {
        Field era = new Field("Store-Era", Long.toString(mEra));
        x.reply(Reply.text(status, body.toString(), era));
    }
}
