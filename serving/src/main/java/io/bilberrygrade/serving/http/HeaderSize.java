package io.bilberrygrade.serving.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;

/** Measures the head of a request in bytes on the wire, the unit of the published limit. */
public final class HeaderSize {
    /** Bytes of a colon, a space and the line end. */
    private static final int BYTES_PER_HEADER = 4;

    /** Bytes of two spaces, the protocol version and the line end. */
    private static final int BYTES_OF_FIRST_LINE = 12;

    private HeaderSize() {}

    /** Returns the length in bytes; names and values hold one byte a character. */
    public static int of(HttpServerRequest request) {
        int bytes = request.method().name().length() + request.uri().length() + BYTES_OF_FIRST_LINE;
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + BYTES_PER_HEADER;
        }
        return bytes;
    }
}
