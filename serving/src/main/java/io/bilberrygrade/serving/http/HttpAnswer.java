package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.json.Mappers;
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

    /** Reads the body as JSON. */
    public <T> T as(Class<T> type) {
        try {
            return Mappers.JSON.readValue(body.getBytes(), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
