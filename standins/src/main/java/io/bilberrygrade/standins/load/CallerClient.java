package io.bilberrygrade.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.json.Mappers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;

/** HTTP client that sends requests to entry daemons and checks each token of the answers. */
public final class CallerClient {
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int HTTP_CREATED = 201;
    private static final Duration KEY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration IDLE_GRACE = Duration.ofSeconds(2);

    private final HttpClient mClient;
    private final String mCredential;

    /** Creates a client that authenticates with the given team credential. */
    public CallerClient(Vertx vertx, String credential) {
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setTcpNoDelay(true).setConnectTimeout(1_000),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        mCredential = credential;
    }

    /** Requests an idempotency key from one entry daemon; empty if it issues none. */
    public Uni<Optional<String>> requestIdempotencyKey(Address entry) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(entry.host())
                        .setPort(entry.port())
                        .setURI("/v1/keys")
                        .setTimeout(KEY_TIMEOUT.toMillis())
                        .putHeader("Authorization", "Bearer " + mCredential);
        return Uni.createFrom()
                .completionStage(
                        () ->
                                mClient.request(options)
                                        .compose(HttpClientRequest::send)
                                        .compose(CallerClient::key)
                                        .toCompletionStage())
                .onFailure()
                .recoverWithItem(Optional.empty());
    }

    private static Future<Optional<String>> key(HttpClientResponse response) {
        if (response.statusCode() != HTTP_CREATED) {
            return Future.succeededFuture(Optional.empty());
        }
        return response.body().map(b -> Optional.of(b.toJsonObject().getString("key")));
    }

    /** Sends a request to one entry daemon; never fails, as a lost connection is also a result. */
    public Uni<CallerResult> send(Address entry, CallerRequest request) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            AnswerReader reader = new AnswerReader(request, e::complete);
                            connect(entry, request, reader);
                        });
    }

    private void connect(Address entry, CallerRequest request, AnswerReader reader) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(entry.host())
                        .setPort(entry.port())
                        .setURI(path(request))
                        .setIdleTimeout(request.timeout().plus(IDLE_GRACE).toMillis());
        mClient.request(options)
                .onFailure(reader::onConnectFailure)
                .onSuccess(r -> write(r, request, reader));
    }

    private void write(HttpClientRequest out, CallerRequest request, AnswerReader reader) {
        out.putHeader("Authorization", "Bearer " + mCredential)
                .putHeader("X-Work-Class", request.workClass())
                .putHeader("X-Timeout-Ms", Long.toString(request.timeout().toMillis()))
                .putHeader("Content-Type", "application/json");
        switch (request) {
            case CallerRequest.Completion c -> out.putHeader("X-Worth", Double.toString(c.worth()));
            case CallerRequest.ServiceCall s ->
                    s.key().ifPresent(k -> out.putHeader("Idempotency-Key", k));
        }
        out.send(body(request)).onFailure(reader::onConnectionLost).onSuccess(reader::read);
    }

    private static String path(CallerRequest request) {
        return switch (request) {
            case CallerRequest.Completion c -> "/v1/completions";
            case CallerRequest.ServiceCall s -> "/v1/services/" + s.service() + "/" + s.operation();
        };
    }

    private static Buffer body(CallerRequest request) {
        return switch (request) {
            case CallerRequest.Completion c -> completionBody(c);
            case CallerRequest.ServiceCall s -> Buffer.buffer(s.body());
        };
    }

    private static Buffer completionBody(CallerRequest.Completion c) {
        ObjectNode node = Mappers.JSON.createObjectNode();
        node.put("model", c.model());
        node.put("prompt", c.prompt());
        node.put("max_tokens", c.maxTokens());
        node.put("stream", true);
        try {
            return Buffer.buffer(Mappers.JSON.writeValueAsBytes(node));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
