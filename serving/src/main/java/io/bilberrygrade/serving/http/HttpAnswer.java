package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.vertx.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Answer of an HTTP call, read whole. */
public record HttpAnswer(
        int status, Optional<String> contentType, Optional<String> load, Buffer body) {
    static HttpAnswer of(HttpResponse<io.vertx.mutiny.core.buffer.Buffer> response) {
        Buffer body = response.body() == null ? Buffer.buffer() : response.body().getDelegate();
        return new HttpAnswer(
                response.statusCode(),
                Optional.ofNullable(response.getHeader("Content-Type")),
                Optional.ofNullable(response.getHeader("X-Load")),
                body);
    }

    /** Returns the reason that a refusal gives. */
    String refusal() {
        try {
            String reason = Mappers.JSON.readValue(body.getBytes(), RefusalDocument.class).reason();
            return reason == null ? "unspecified" : reason;
        } catch (IOException e) {
            return "unspecified";
        }
    }

    /** Reads the body as JSON. */
    public <T> T as(Class<T> type) {
        try {
            return Mappers.JSON.readValue(body.getBytes(), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
