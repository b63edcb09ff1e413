package io.azurestage.node;

import io.azurestage.core.context.RequestId;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Routes incoming HTTP requests of outside callers and other nodes to their handlers. */
final class IngressHandler extends Handler.Abstract.NonBlocking {
    private final NodeContext mNode;
    private final EntryHandler mEntry;
    private final PeerCallHandler mPeerCalls;
    private final TicketHandler mTickets;

    IngressHandler(
            NodeContext node,
            EntryHandler entry,
            PeerCallHandler peerCalls,
            TicketHandler tickets) {
        mNode = node;
        mEntry = entry;
        mPeerCalls = peerCalls;
        mTickets = tickets;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getHeaders().contains(Headers.CONTEXT)) {
            mPeerCalls.handle(request, response, callback);
            return true;
        }
        RequestId id = RequestId.random(ThreadLocalRandom.current());
        if (TicketHandler.PATH.equals(request.getHttpURI().getPath())) {
            mTickets.handle(id, request, response, callback);
        } else if (mNode.lifecycle() == Lifecycle.JOINING) {
            Refusal r = EntryHandler.withRepeatUncertainty(request, Replies.notReady());
            Replies.refuse(mNode, id, response, callback, r);
        } else if (!mNode.bounds().connections().makeRoom(request)) {
            Refusal r = EntryHandler.withRepeatUncertainty(request, Replies.tooManyConnections());
            Replies.refuse(mNode, id, response, callback, r);
        } else {
            mEntry.handle(id, request, response, callback);
        }
        return true;
    }
}
