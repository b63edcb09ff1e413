package io.azurestage.node;

import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes a request to the handler of the connector (port) that accepted it. */
final class ConnectorDispatcher extends Handler.Abstract.NonBlocking {
    private final Connector mEgress;
    private final Handler mIngressHandler;
    private final Handler mEgressHandler;

    ConnectorDispatcher(Connector egress, Handler ingressHandler, Handler egressHandler) {
        mEgress = egress;
        mIngressHandler = ingressHandler;
        mEgressHandler = egressHandler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        boolean egress = request.getConnectionMetaData().getConnector() == mEgress;
        return (egress ? mEgressHandler : mIngressHandler).handle(request, response, callback);
    }
}
