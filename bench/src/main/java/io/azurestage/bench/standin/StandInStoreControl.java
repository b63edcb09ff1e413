package io.azurestage.bench.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.time.Duration;
import java.util.Locale;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * HTTP control API. It has a port of its own, which stays open while a fault keeps the port of the
 * store closed.
 */
final class StandInStoreControl extends Handler.Abstract {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final StandInStore mStore;

    StandInStoreControl(StandInStore store) {
        mStore = store;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        Fields query = Request.extractQueryParameters(request);
        try {
            String body = run(path, query);
            int status = body.isEmpty() ? NOT_FOUND : OK;
            StandInStoreApi.respond(response, callback, status, body);
        } catch (IllegalArgumentException e) {
            String message = StandInStoreJson.MAPPER.writeValueAsString(e.getMessage());
            StandInStoreApi.respond(response, callback, BAD_REQUEST, message);
        }
        return true;
    }

    private String run(String path, Fields query) throws JsonProcessingException {
        switch (path) {
            case "/control/fault" -> fault(query);
            case "/control/lapse-leases" -> mStore.expireAllLeases();
            case "/control/break-watches" -> mStore.disconnectWatches();
            case "/control/cancel-watches" -> mStore.cancelWatches();
            case "/control/compact" -> mStore.compact();
            case "/control/return" -> mStore.rollBackTo(number(query, "revision"));
            case "/control/reset-counters" -> mStore.resetCounters();
            case "/control/counters" -> {
                return StandInStoreJson.MAPPER.writeValueAsString(mStore.counters());
            }
            default -> {
                return "";
            }
        }
        return "{\"revision\":" + mStore.revision() + "}";
    }

    private void fault(Fields query) {
        StandInStoreFault fault =
                StandInStoreFault.valueOf(
                        text(query, "name").toUpperCase(Locale.ROOT).replace('-', '_'));
        if (query.get("delayMs") != null) {
            mStore.delay(Duration.ofMillis(number(query, "delayMs")));
        }
        if (query.get("times") != null) {
            mStore.enableFaultForCalls(fault, number(query, "times"));
        } else if (Boolean.parseBoolean(text(query, "on"))) {
            mStore.enableFault(fault);
        } else {
            mStore.disableFault(fault);
        }
    }

    private static String text(Fields query, String name) {
        if (query.get(name) == null) {
            throw new IllegalArgumentException("query parameter " + name + " is missing");
        }
        return query.getValue(name);
    }

    private static long number(Fields query, String name) {
        return Long.parseLong(text(query, name));
    }
}
