import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 reading for the stand-ins; knows nothing of the project's code. */
final class Http {
    private Http() {}

    /** Head of a request or of an answer; header names in lower case. */
    record Head(String first, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Status of an answer. */
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads a head; null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the head was cut");
            }
            if (line.isEmpty()) {
                return new Head(first, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads a body that has a length or chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) {
                    return body.toByteArray();
                }
                body.writeBytes(chunk);
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    /** Reads one chunk; empty at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the body was cut");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body was cut");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line was cut");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }
}
