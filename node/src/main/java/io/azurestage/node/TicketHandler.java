package io.azurestage.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.azurestage.core.context.RequestId;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.routing.AttemptResult;
import io.azurestage.core.routing.Pick;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Issues tickets to outside callers. Any node can sign one without contacting another node. */
final class TicketHandler {
    static final String PATH = "/azurestage/v1/tickets";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final NodeContext mNode;

    TicketHandler(NodeContext node) {
        mNode = node;
    }

    void handle(RequestId id, Request request, Response response, Callback callback) {
        Optional<Refusal> refusal = check(request);
        if (refusal.isPresent()) {
            Replies.refuse(mNode, id, response, callback, refusal.get());
            return;
        }
        String service = service(request);
        Optional<Pick> pick = mNode.router().pick(service, Set.of());
        if (pick.isEmpty()) {
            Replies.refuse(
                    mNode,
                    id,
                    response,
                    callback,
                    Refusal.notRun(RefusalKind.NO_BACKEND_SERVER, "no backend server is known"));
            return;
        }
        pick.get().done(AttemptResult.CANCELLED, 0, -1);
        Ticket t =
                mNode.tickets()
                        .issue(
                                pick.get().endpoint().node(),
                                service,
                                request.getHeaders().get(Headers.PARTNER));
        answer(t, response, callback);
    }

    private Optional<Refusal> check(Request request) {
        if (!"POST".equals(request.getMethod())) {
            return Optional.of(
                    Refusal.notRun(RefusalKind.BAD_REQUEST, "tickets are asked for with POST"));
        }
        if (mNode.lifecycle() == Lifecycle.JOINING) {
            return Optional.of(Replies.notReady());
        }
        Optional<Refusal> identity = Authenticator.refusal(mNode.config(), request.getHeaders());
        if (identity.isPresent()) {
            return identity;
        }
        String service = service(request);
        if (service == null || mNode.config().service(service).isEmpty()) {
            return Optional.of(
                    Refusal.notRun(
                            RefusalKind.UNKNOWN_SERVICE, "the configuration has no such service"));
        }
        return Optional.empty();
    }

    private static String service(Request request) {
        Fields query = Request.extractQueryParameters(request);
        return query.getValue("service");
    }

    private void answer(Ticket t, Response response, Callback callback) {
        try {
            byte[] json =
                    MAPPER.writeValueAsBytes(
                            Map.of(
                                    "ticket",
                                    t.encode(mNode.signer()),
                                    "expiresAt",
                                    t.expiresAt().toString()));
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.write(true, ByteBuffer.wrap(json), callback);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the ticket as JSON", e);
        }
    }
}
