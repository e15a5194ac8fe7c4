package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.answer.AnswerLimits;
import io.bilberrygrade.serving.answer.AnswerValidationHandler;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpConnection;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.time.Duration;
import org.jboss.logging.Logger;

/** Makes HTTP calls to endpoints and to the platform, with bounded connections. */
public final class HttpCalls implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(HttpCalls.class);
    private static final int MAX_CONNECTIONS_PER_PEER = 512;
    private static final int MAX_HEADER_BYTES = HttpClientOptions.DEFAULT_MAX_HEADER_SIZE;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Time for which an idle connection is kept. */
    private static final Duration DEFAULT_IDLE_TIME = Duration.ofMinutes(1);

    /** Limit in bytes of a body that is held whole; answers of the store are the largest. */
    private static final long MAX_BODY_BYTES = 8 << 20;

    private static final AnswerLimits BUFFERED =
            new AnswerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, MAX_BODY_BYTES);
    private static final AnswerLimits STREAMED =
            new AnswerLimits(MAX_HEADER_BYTES, Long.MAX_VALUE, MAX_BODY_BYTES);

    private final HttpClient mStreamingClient;
    private final WebClient mWebClient;
    private final ControlTraffic mTraffic;

    /** Creates the client on the given Vert.x instance. */
    public HttpCalls(Vertx vertx) {
        this(vertx, ControlTraffic.unexported());
    }

    /**
     * Creates a client that keeps an idle connection for the given time, in whole seconds. One that
     * has gone silent isn't used after that.
     */
    public HttpCalls(Vertx vertx, Duration idleTime) {
        this(vertx, ControlTraffic.unexported(), idleTime);
    }

    /** Creates the client, which counts its control calls in {@code traffic}. */
    public HttpCalls(Vertx vertx, ControlTraffic traffic) {
        this(vertx, traffic, DEFAULT_IDLE_TIME);
    }

    private HttpCalls(Vertx vertx, ControlTraffic traffic, Duration idleTime) {
        mTraffic = traffic;
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                        .setTcpNoDelay(true)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout((int) idleTime.toSeconds());
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_PEER);
        mStreamingClient = client(vertx, options, pool, STREAMED);
        mWebClient = WebClient.wrap(client(vertx, options, pool, BUFFERED));
    }

    private static HttpClient client(
            Vertx vertx, HttpClientOptions options, PoolOptions pool, AnswerLimits limits) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(c -> onConnection(c, limits))
                .build();
    }

    private static void onConnection(HttpConnection connection, AnswerLimits limits) {
        AnswerValidationHandler.install(connection.getDelegate(), limits);
        connection.exceptionHandler(HttpCalls::connectionFailed);
    }

    /**
     * Logs the failure of a connection. Calls in flight report it themselves, and an idle
     * connection has no call to fail.
     */
    private static void connectionFailed(Throwable e) {
        LOGGER.debugf("a connection failed: %s", e.getMessage());
    }

    /** Creates a call to a peer; its failures carry the step. */
    public HttpCall to(Address peer, Step step) {
        return new HttpCall(mWebClient, peer, step, mTraffic);
    }

    /** Returns the client for streamed answers. */
    public HttpClient streamingClient() {
        return mStreamingClient;
    }

    @Override
    public void close() {
        mWebClient.close();
        mStreamingClient.closeAndForget();
    }
}
