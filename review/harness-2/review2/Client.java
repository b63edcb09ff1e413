package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection to the node of its machine. */
final class Client implements AutoCloseable {
    private final Socket mSocket = new Socket();

    Client(InetSocketAddress node, int receiveBytes) throws IOException {
        if (receiveBytes > 0) {
            mSocket.setReceiveBufferSize(receiveBytes);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(12_000);
        mSocket.connect(node, 1_000);
    }

    void send(String method, String host, String target, String id, long timeoutMillis)
            throws IOException {
        mSocket.getOutputStream()
                .write(
                        Http.format(
                                method + " " + target + " HTTP/1.1",
                                new byte[0],
                                "Host",
                                host,
                                "Azurestage-Attempt-Id",
                                id,
                                "Azurestage-Timeout-Ms",
                                Long.toString(timeoutMillis)));
        mSocket.getOutputStream().flush();
    }

    /** Reads an answer; throws if the connection ends before it is complete. */
    Http.Message receive() throws IOException {
        Http.Message m = Http.read(mSocket.getInputStream());
        if (m == null) {
            throw new IOException("the connection ended without an answer");
        }
        return m;
    }

    Http.Message receiveHead() throws IOException {
        Http.Message m = Http.readHead(mSocket.getInputStream());
        if (m == null) {
            throw new IOException("the connection ended without an answer");
        }
        return m;
    }

    InputStream in() throws IOException {
        return mSocket.getInputStream();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
