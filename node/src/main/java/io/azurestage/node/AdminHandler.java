package io.azurestage.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.config.AcceptedConfig;
import io.azurestage.config.ConfigException;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The admin endpoint: health, metrics, status, events, configuration push and draining. */
final class AdminHandler extends Handler.Abstract.NonBlocking {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_CONFIG_BYTES = 1 << 20;
    private static final String JSON_TYPE = "application/json";
    private static final String TEXT_TYPE = "text/plain; charset=utf-8";
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final NodeSettings mSettings;
    private final ControlPlane mControl;
    private final StatusReport mStatus;
    private final EventReport mEvents;
    private final PrometheusRegistry mRegistry;
    private final Runnable mDrain;
    private final ClientBounds mBounds;

    AdminHandler(
            NodeSettings settings,
            ControlPlane control,
            StatusReport status,
            EventReport events,
            PrometheusRegistry registry,
            Runnable drain,
            ClientBounds bounds) {
        mBounds = bounds;
        mSettings = settings;
        mControl = control;
        mStatus = status;
        mEvents = events;
        mRegistry = registry;
        mDrain = drain;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String route = request.getMethod() + " " + request.getHttpURI().getPath();
        switch (route) {
            case "GET /livez" -> reply(response, callback, HttpStatus.OK_200, TEXT_TYPE, "ok\n");
            case "GET /readyz" -> ready(response, callback);
            case "GET /metrics" -> metrics(response, callback);
            case "GET /azurestage/v1/status" -> status(request, response, callback);
            case "GET /azurestage/v1/events" ->
                    json(
                            response,
                            callback,
                            mEvents.events(Request.extractQueryParameters(request)));
            case "POST /azurestage/v1/config" -> config(request, response, callback);
            case "POST /azurestage/v1/drain" -> drain(request, response, callback);
            default ->
                    error(
                            response,
                            callback,
                            HttpStatus.NOT_FOUND_404,
                            "no such page; see docs/OPERATIONS.md");
        }
        return true;
    }

    private void status(Request request, Response response, Callback callback) {
        String members = Request.extractQueryParameters(request).getValue("members");
        json(response, callback, mStatus.status(!"false".equals(members)));
    }

    private void ready(Response response, Callback callback) {
        String reason = mControl.notReadyReason();
        int status = reason.isEmpty() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
        reply(response, callback, status, TEXT_TYPE, reason.isEmpty() ? "ready\n" : reason + "\n");
    }

    private void metrics(Response response, Callback callback) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        reply(
                response,
                callback,
                HttpStatus.OK_200,
                METRICS_TYPE,
                out.toString(StandardCharsets.UTF_8));
    }

    private boolean checkOperator(Request request, Response response, Callback callback) {
        if (Authenticator.hasBearerToken(request.getHeaders(), mSettings.operatorTokenSha256())) {
            return true;
        }
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        error(
                response,
                callback,
                HttpStatus.UNAUTHORIZED_401,
                "send Authorization: Bearer OPERATOR_TOKEN");
        return false;
    }

    private void config(Request request, Response response, Callback callback) {
        if (!checkOperator(request, response, callback)) {
            return;
        }
        RequestBody.read(request, MAX_CONFIG_BYTES, mBounds)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                error(
                                        response,
                                        callback,
                                        HttpStatus.PAYLOAD_TOO_LARGE_413,
                                        "the record is longer than 1 MiB or broke off");
                            } else {
                                adopt(body, response, callback);
                            }
                        });
    }

    private void adopt(byte[] body, Response response, Callback callback) {
        AcceptedConfig accepted;
        try {
            accepted = AcceptedConfig.parse(new String(body, StandardCharsets.UTF_8));
        } catch (ConfigException e) {
            error(response, callback, HttpStatus.BAD_REQUEST_400, String.valueOf(e.getMessage()));
            return;
        }
        mControl.mesh()
                .offerConfig(ConfigRecords.fromStore(accepted))
                .whenComplete(
                        (inForce, failure) -> {
                            if (failure != null) {
                                error(
                                        response,
                                        callback,
                                        HttpStatus.SERVICE_UNAVAILABLE_503,
                                        String.valueOf(failure.getMessage()));
                                return;
                            }
                            Map<String, Object> m = new LinkedHashMap<>();
                            m.put("number", inForce.number());
                            m.put("changeId", inForce.changeId());
                            json(response, callback, m);
                        });
    }

    private void drain(Request request, Response response, Callback callback) {
        if (checkOperator(request, response, callback)) {
            mDrain.run();
            reply(response, callback, HttpStatus.ACCEPTED_202, JSON_TYPE, "{\"draining\":true}\n");
        }
    }

    private static void json(Response response, Callback callback, Object value) {
        try {
            String text = MAPPER.writeValueAsString(value);
            reply(response, callback, HttpStatus.OK_200, JSON_TYPE, text);
        } catch (JsonProcessingException e) {
            callback.failed(e);
        }
    }

    private static void error(Response response, Callback callback, int status, String detail) {
        try {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("title", HttpStatus.getMessage(status));
            m.put("status", status);
            m.put("detail", detail);
            String text = MAPPER.writeValueAsString(m);
            reply(response, callback, status, Refusal.CONTENT_TYPE, text);
        } catch (JsonProcessingException e) {
            callback.failed(e);
        }
    }

    private static void reply(
            Response response, Callback callback, int status, String type, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }
}
