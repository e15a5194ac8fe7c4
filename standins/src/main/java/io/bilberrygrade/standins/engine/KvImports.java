package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.SegmentDocument;
import io.bilberrygrade.standins.control.Json;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.net.URI;
import java.util.stream.Collectors;

/** Imports KV caches from the engines that exported them. */
final class KvImports {
    private static final long TIMEOUT_MILLIS = 2_000;

    private final WebClient mClient;

    KvImports(Vertx vertx) {
        mClient = WebClient.create(vertx);
    }

    /** Returns the total tokens of the listed KV caches; fails if one of them no longer exists. */
    Uni<Long> read(String handles) {
        if (handles == null || handles.isBlank()) {
            return Uni.createFrom().item(0L);
        }
        return Multi.createFrom()
                .items(handles.split(",", -1))
                .onItem()
                .transformToUniAndConcatenate(this::readOne)
                .collect()
                .with(Collectors.summingLong(t -> t));
    }

    private Uni<Long> readOne(String item) {
        URI uri = URI.create("http://" + item.strip());
        return mClient.get(uri.getPort(), uri.getHost(), "/v1/kv" + uri.getPath())
                .timeout(TIMEOUT_MILLIS)
                .send()
                .onItem()
                .transformToUni(KvImports::tokens);
    }

    private static Uni<Long> tokens(HttpResponse<Buffer> response) {
        if (response.statusCode() != 200) {
            return Uni.createFrom().failure(new IOException("KV cache no longer exists"));
        }
        byte[] body = response.body().getBytes();
        return Uni.createFrom().item(Json.read(body, SegmentDocument.class).tokens());
    }
}
