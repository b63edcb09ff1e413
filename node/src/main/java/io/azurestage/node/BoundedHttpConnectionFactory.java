package io.azurestage.node;

import io.azurestage.core.memory.Holding;
import io.azurestage.core.memory.MemoryAccount;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * Makes HTTP/1 connections whose heads and trailers count in the account of the node while they are
 * incomplete. Jetty limits their bytes, but short fields take many times that as objects.
 */
final class BoundedHttpConnectionFactory extends HttpConnectionFactory {
    /** Estimated memory of the objects for a field, apart from its text. */
    private static final int FIELD_BYTES = 160;

    /** Estimated memory of a connection. */
    private static final int CONNECTION_BYTES = 8 << 10;

    private final MemoryAccount mMemory;

    BoundedHttpConnectionFactory(HttpConfiguration configuration, MemoryAccount memory) {
        super(configuration);
        mMemory = memory;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        HttpConnection connection =
                new BoundedConnection(getHttpConfiguration(), connector, endPoint, mMemory);
        return configure(connection, connector, endPoint);
    }

    private static final class BoundedConnection extends HttpConnection {
        private final Holding mHolding;
        private long mFieldBytes;

        BoundedConnection(
                HttpConfiguration configuration,
                Connector connector,
                EndPoint endPoint,
                MemoryAccount memory) {
            super(configuration, connector, endPoint);
            mHolding = memory.open(endPoint::close);
            mHolding.resize(CONNECTION_BYTES);
        }

        @Override
        public void onClose(Throwable cause) {
            mHolding.close();
            super.onClose(cause);
        }

        private void count(HttpField field) {
            String value = field.getValue();
            mFieldBytes +=
                    FIELD_BYTES + field.getName().length() + (value == null ? 0 : value.length());
            mHolding.resize(CONNECTION_BYTES + mFieldBytes);
        }

        @Override
        protected RequestHandler newRequestHandler() {
            return new RequestHandler() {
                @Override
                public void startRequest(String method, String uri, HttpVersion version) {
                    mFieldBytes = 0;
                    mHolding.restart();
                    super.startRequest(method, uri, version);
                }

                @Override
                public void parsedHeader(HttpField field) {
                    count(field);
                    super.parsedHeader(field);
                }

                @Override
                public void parsedTrailer(HttpField field) {
                    count(field);
                    super.parsedTrailer(field);
                }

                @Override
                public boolean messageComplete() {
                    mFieldBytes = 0;
                    mHolding.resize(CONNECTION_BYTES);
                    return super.messageComplete();
                }
            };
        }
    }
}
