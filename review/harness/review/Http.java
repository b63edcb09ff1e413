package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Minimal HTTP/1.1 messages over plain sockets. */
final class Http {
    /** A message: its start line, its fields in lower case, and its body. */
    static final class Message {
        String startLine;
        int status;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Length announced by the sender, -1 if there is none. */
        long length = -1;

        boolean isComplete = true;
    }

    private Http() {}

    static Socket connect(int port) throws IOException {
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        return s;
    }

    static byte[] request(
            String method, String path, String host, List<String> fields, byte[] body) {
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host)
                .append("\r\n");
        fields.forEach(f -> head.append(f).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    /** Sends a request on a connection of its own and reads the complete answer. */
    static Message send(int port, String method, String path, String host, List<String> fields,
            byte[] body, int timeoutMillis) throws IOException {
        try (Socket s = connect(port)) {
            s.setSoTimeout(timeoutMillis);
            s.getOutputStream().write(request(method, path, host, fields, body));
            s.getOutputStream().flush();
            return read(new BufferedInputStream(s.getInputStream()), true);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int c = in.read();
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("end of connection in a head");
            }
            if (c != '\r') {
                b.write(c);
            }
            c = in.read();
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        m.startLine = line(in);
        if (m.startLine.startsWith("HTTP/")) {
            m.status = Integer.parseInt(m.startLine.split(" ")[1]);
        }
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.fields.put(l.substring(0, colon).trim(), l.substring(colon + 1).trim());
        }
        if (m.fields.containsKey("Content-Length")) {
            m.length = Long.parseLong(m.fields.get("Content-Length"));
        }
        return m;
    }

    /** Reads a message. A body that ends early is kept, and marked as incomplete. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message m = readHead(in);
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        byte[] chunk = new byte[64 << 10];
        if (m.length >= 0) {
            while (b.size() < m.length) {
                int n = in.read(chunk, 0, (int) Math.min(chunk.length, m.length - b.size()));
                if (n < 0) {
                    m.isComplete = false;
                    break;
                }
                b.write(chunk, 0, n);
            }
        } else if ("chunked".equalsIgnoreCase(m.fields.get("Transfer-Encoding"))) {
            while (true) {
                int n = Integer.parseInt(line(in).trim(), 16);
                b.writeBytes(in.readNBytes(n));
                line(in);
                if (n == 0) {
                    break;
                }
            }
        } else if (isAnswer) {
            b.writeBytes(in.readAllBytes());
        }
        m.body = b.toByteArray();
        return m;
    }

    static List<String> fields(String id, int timeoutMillis) {
        List<String> f = new ArrayList<>();
        f.add("Azurestage-Attempt-Id: " + id);
        f.add("Azurestage-Timeout-Ms: " + timeoutMillis);
        return f;
    }
}
