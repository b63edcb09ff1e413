package io.azurestage.node;

import io.azurestage.core.context.RequestId;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Takes calls from outside callers and from other nodes. */
final class IngressHandler extends Handler.Abstract.NonBlocking {
    private final Shared mShared;
    private final Entry mEntry;
    private final Hop mHop;
    private final Tickets mTickets;

    IngressHandler(Shared shared, Entry entry, Hop hop, Tickets tickets) {
        mShared = shared;
        mEntry = entry;
        mHop = hop;
        mTickets = tickets;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getHeaders().contains(Headers.CONTEXT)) {
            mHop.handle(request, response, callback);
            return true;
        }
        RequestId id = RequestId.random(ThreadLocalRandom.current());
        if (Tickets.PATH.equals(request.getHttpURI().getPath())) {
            mTickets.handle(id, request, response, callback);
        } else if (mShared.lifecycle() == Lifecycle.JOINING) {
            Refusal r = Entry.asRepeat(request, Replies.notReady());
            Replies.refuse(mShared, id, response, callback, r);
        } else {
            mEntry.handle(id, request, response, callback);
        }
        return true;
    }
}
