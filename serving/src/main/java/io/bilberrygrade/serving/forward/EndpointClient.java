package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.answer.AnswerMemory;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.answer.AnswerLimits;
import io.bilberrygrade.serving.answer.AnswerValidationHandler;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.error.ErrorGuard;
import io.bilberrygrade.serving.http.Connections;
import io.netty.channel.ConnectTimeoutException;
import io.smallrye.mutiny.Uni;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Sends requests to endpoints, each on its own connection. Leftover bytes of an earlier answer
 * therefore can't be read as part of this one, no request is sent on an idle connection that has
 * failed undetected, and closing the connection cancels exactly one request.
 */
final class EndpointClient implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(EndpointClient.class);

    /** Time limit of connecting; a round trip between data centres takes a few ms. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Time after which a connection that was accepted isn't reset by what accepted it. */
    private static final Duration RESET_TIME = Duration.ofMillis(100);

    /** Limit of connections to one endpoint; the endpoint's own limit is lower. */
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 1_024;

    private static final int MAX_HEADER_BYTES = 64 << 10;

    /** The heap is so many times what answers under way may hold. */
    private static final int HEAP_PER_ANSWER_MEMORY = 4;

    private final AnswerMemory<EndpointId> mAnswerMemory =
            new AnswerMemory<>(Runtime.getRuntime().maxMemory() / HEAP_PER_ANSWER_MEMORY);
    private final Vertx mVertx;
    private final HttpClient mClient;
    private final NetClient mProbes;
    private final ForwardProtocol mProtocol;

    EndpointClient(Vertx vertx, ForwardProtocol protocol) {
        mVertx = vertx;
        mProtocol = protocol;
        HttpClientOptions options =
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis());
        mProbes =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
        mClient =
                vertx.httpClientBuilder()
                        .with(options)
                        .with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT))
                        .withConnectHandler(EndpointClient::onConnection)
                        .build();
    }

    private static void onConnection(HttpConnection connection) {
        AnswerValidationHandler.install(connection, AnswerLimits.headOnly(MAX_HEADER_BYTES));
        connection.exceptionHandler(EndpointClient::logConnectionFailure);
    }

    /**
     * Logs at debug level only: a connection carries one exchange, which reports the failure
     * itself.
     */
    private static void logConnectionFailure(Throwable e) {
        LOGGER.debugf("a connection to an endpoint failed: %s", e.getMessage());
    }

    /** Returns the memory that the answers of all endpoints share. */
    AnswerMemory<EndpointId> answerMemory() {
        return mAnswerMemory;
    }

    /** Creates the body of an answer; {@code end} ends the answer if answers hold too much. */
    AnswerBody newBody(EndpointId endpoint, Runnable end) {
        return new AnswerBody(mAnswerMemory.add(endpoint, end));
    }

    /** Creates a call, which isn't sent yet; the listener gets its progress. */
    EndpointCall newCall(EndpointListener listener, ErrorGuard guard) {
        return new HttpExchange(listener, guard);
    }

    /**
     * Returns whether an endpoint refuses connections, as it does when its process has ended; false
     * if that can't be told.
     */
    Uni<Boolean> refusesConnections(Address address) {
        return Uni.createFrom()
                .<Boolean>emitter(e -> connect(address, e::complete))
                .onFailure()
                .recoverWithItem(false);
    }

    /** Returns whether an endpoint accepts a connection and doesn't reset it at once. */
    Uni<Boolean> acceptsConnections(Address address) {
        return Uni.createFrom()
                .<Boolean>emitter(
                        e ->
                                mProbes.connect(address.port(), address.host())
                                        .onSuccess(s -> checkStaysOpen(s, e::complete))
                                        .onFailure(f -> e.complete(false)))
                .onFailure()
                .recoverWithItem(false);
    }

    private void checkStaysOpen(NetSocket socket, Consumer<Boolean> onResult) {
        long timer =
                mVertx.setTimer(
                        RESET_TIME.toMillis(),
                        t -> {
                            socket.closeHandler(v -> {});
                            socket.close();
                            onResult.accept(true);
                        });
        socket.exceptionHandler(e -> {});
        socket.closeHandler(
                v -> {
                    mVertx.cancelTimer(timer);
                    onResult.accept(false);
                });
    }

    private void connect(Address address, Consumer<Boolean> onResult) {
        mProbes.connect(address.port(), address.host())
                .onSuccess(
                        socket -> {
                            socket.close();
                            onResult.accept(false);
                        })
                .onFailure(f -> onResult.accept(isRefusal(f)));
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    @Override
    public void close() {
        mClient.close();
        mProbes.close();
    }

    private final class HttpExchange implements EndpointCall {
        private final EndpointListener mListener;
        private final ErrorGuard mGuard;
        private HttpClientRequest mRequest;
        private HttpClientResponse mResponse;
        private boolean mDone;

        HttpExchange(EndpointListener listener, ErrorGuard guard) {
            mListener = listener;
            mGuard = guard;
        }

        @Override
        public void send(RequestHead head, Buffer body, AttemptRequest attemptRequest) {
            Address address = attemptRequest.endpoint().address();
            send(address, head, body, () -> mProtocol.writeRequest(head, attemptRequest));
        }

        @Override
        public void send(Address address, RequestHead head, MultiMap headers, Buffer body) {
            send(address, head, body, () -> headers);
        }

        private void send(
                Address address, RequestHead head, Buffer body, Supplier<MultiMap> headers) {
            try {
                connect(address, head, headers.get(), body);
            } catch (RuntimeException e) {
                fail(Delivery.NOT_DELIVERED, e);
            }
        }

        private void connect(Address address, RequestHead head, MultiMap headers, Buffer body) {
            RequestOptions options =
                    new RequestOptions()
                            .setMethod(head.method())
                            .setHost(address.host())
                            .setPort(address.port())
                            .setURI(head.uri());
            mClient.request(options)
                    .onSuccess(r -> onConnected(r, headers, body))
                    .onFailure(e -> fail(Delivery.NOT_DELIVERED, e));
        }

        private void onConnected(HttpClientRequest request, MultiMap headers, Buffer body) {
            mRequest = request;
            request.exceptionHandler(this::failSent);
            if (mDone) {
                Connections.closeNow(request.connection());
                return;
            }
            try {
                // Refused headers among the options would leave the call without a result.
                request.headers().setAll(headers);
            } catch (IllegalArgumentException e) {
                fail(Delivery.NOT_DELIVERED, e);
                return;
            }
            request.response().onSuccess(this::onResponse).onFailure(this::failSent);
            mGuard.run(mListener::onConnected);
            if (mDone) {
                Connections.closeNow(request.connection());
                return;
            }
            if (body.length() == 0) {
                request.end();
            } else {
                request.end(body);
            }
        }

        private void onResponse(HttpClientResponse response) {
            if (mDone) {
                return;
            }
            mResponse = response;
            response.exceptionHandler(this::failSent);
            response.handler(this::onBodyPart);
            response.endHandler(v -> onBodyEnd());
            mGuard.run(
                    () ->
                            mListener.onHead(
                                    mProtocol.readAnswer(
                                            response.statusCode(), response.headers())));
        }

        private void onBodyPart(Buffer part) {
            if (!mDone) {
                mGuard.run(() -> mListener.onData(part));
            }
        }

        private void onBodyEnd() {
            if (!mDone) {
                mDone = true;
                mGuard.run(mListener::onEnd);
            }
        }

        private void fail(Delivery delivery, Throwable cause) {
            if (!mDone) {
                abandon();
                mGuard.run(() -> mListener.onFailed(delivery, String.valueOf(cause.getMessage())));
            }
        }

        /** Fails after the request was sent, by the endpoint or for what it has answered. */
        private void failSent(Throwable cause) {
            if (!mDone && (cause instanceof HttpClosedException || cause instanceof IOException)) {
                abandon();
                mGuard.run(() -> mListener.onClosed(String.valueOf(cause.getMessage())));
            } else {
                fail(Delivery.MAY_HAVE_RUN, cause);
            }
        }

        private void abandon() {
            mDone = true;
            if (mRequest != null) {
                Connections.closeNow(mRequest.connection());
            }
        }

        @Override
        public void cancel() {
            abandon();
        }

        @Override
        public void pause() {
            if (mResponse != null) {
                mResponse.pause();
            }
        }

        @Override
        public void resume() {
            if (mResponse != null) {
                mResponse.resume();
            }
        }
    }
}
