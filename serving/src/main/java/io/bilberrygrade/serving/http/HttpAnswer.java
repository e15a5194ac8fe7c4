package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Fully buffered answer of an HTTP call. */
public record HttpAnswer(int status, MultiMap headers, Buffer body) {
    static HttpAnswer of(HttpResponse<io.vertx.mutiny.core.buffer.Buffer> response) {
        Buffer body = response.body() == null ? Buffer.buffer() : response.body().getDelegate();
        return new HttpAnswer(response.statusCode(), response.headers().getDelegate(), body);
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the content type of the body. */
    public Optional<String> contentType() {
        return header("Content-Type");
    }

    /** Returns the load header of an engine. */
    public Optional<String> load() {
        return header("X-Load");
    }

    /** Returns the reason of a refusal. */
    String refusal() {
        try {
            String reason = Mappers.JSON.readValue(body.getBytes(), RefusalDocument.class).reason();
            return reason == null ? "unspecified" : reason;
        } catch (IOException e) {
            return "unspecified";
        }
    }

    /** Parses the body as JSON. */
    public <T> T as(Class<T> type) {
        try {
            return Mappers.JSON.readValue(body.getBytes(), type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
