package io.bilberrygrade.serving.forward;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;

/** Measures the head of a request as it was sent, since its bound is published in bytes. */
final class HeaderSize {
    /** Bytes of a colon, a space and the end of a line. */
    private static final int BYTES_PER_HEADER = 4;

    /** Bytes of two spaces, the protocol's version and the end of the line. */
    private static final int BYTES_OF_FIRST_LINE = 12;

    private HeaderSize() {}

    /** Returns the length in bytes; names and values hold one byte a character. */
    static int of(HttpServerRequest request) {
        int bytes = request.method().name().length() + request.uri().length() + BYTES_OF_FIRST_LINE;
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + BYTES_PER_HEADER;
        }
        return bytes;
    }
}
