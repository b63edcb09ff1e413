package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and formats HTTP/1.1 messages for the stand-ins. */
final class Http {
    /** A message: its first line, its header fields by lower-case name, and its body. */
    static final class Message {
        String start = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads the head of a message; returns null if the stream ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        m.start = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            m.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the head is cut off");
        }
        return m;
    }

    /** Reads a message with a body of stated length; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message m = readHead(in);
        if (m != null && !m.field("content-length").isEmpty()) {
            int length = Integer.parseInt(m.field("content-length"));
            m.body = in.readNBytes(length);
            if (m.body.length < length) {
                throw new EOFException("the body is cut off: " + m.body.length + " of " + length);
            }
        }
        return m;
    }

    static byte[] format(String start, byte[] body, String... fields) {
        StringBuilder s = new StringBuilder(start).append("\r\n");
        for (int i = 0; i + 1 < fields.length; i += 2) {
            s.append(fields[i]).append(": ").append(fields[i + 1]).append("\r\n");
        }
        s.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] head = s.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.length + body.length);
        out.writeBytes(head);
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int end = s.length() > 0 && s.charAt(s.length() - 1) == '\r' ? 1 : 0;
                return s.substring(0, s.length() - end);
            }
            s.append((char) c);
        }
        if (s.length() > 0) {
            throw new EOFException("a line is cut off");
        }
        return null;
    }
}
