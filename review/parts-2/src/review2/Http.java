package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream, as far as the stand-ins need them. */
public final class Http {
    private static final int MAX_LINE = 16 << 10;

    private Http() {}

    /**
     * The start line and the header fields of a message.
     *
     * @param start the request line or the status line
     * @param fields the header fields by their names in lower case
     */
    public record Head(String start, Map<String, String> fields) {
        /** The value of a field, or an empty text. */
        public String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** The status code of a response. */
        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        /** The target of a request. */
        public String target() {
            return start.split(" ")[1];
        }
    }

    /** Reads a head; null if the peer closed the connection before its first byte. */
    public static Head readHead(InputStream in) throws IOException {
        String start = readLine(in, true);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(start, fields);
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 && mayEnd && line.size() == 0) {
                return null;
            }
            if (next < 0 || line.size() > MAX_LINE) {
                throw new EOFException("the connection ended inside a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body by the length or the chunks that its head declares; throws if it ends early. */
    public static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        String length = head.field("Content-Length");
        return readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in, false).trim(), 16);
            if (length == 0) {
                while (!readLine(in, false).isEmpty()) {
                    continue; // trailers
                }
                return body.toByteArray();
            }
            body.write(readExactly(in, length));
            readLine(in, false);
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }
}
