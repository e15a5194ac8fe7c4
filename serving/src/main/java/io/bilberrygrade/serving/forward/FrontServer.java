package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.RequestLimits;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.http.HeaderSize;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Accepts callers' requests, reads them completely and passes them to the filters. */
final class FrontServer {
    /** Limit of the parser in bytes, above any limit that a configuration allows. */
    private static final int MAX_HEADER_BYTES = 256 << 10;

    /** Limit in bytes of a body while no configuration is known. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    /** Connections that wait in the kernel to be accepted while the daemon is busy. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Time beyond the published idle timeout before a kept connection is closed. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(2);

    private final HttpServer mServer;
    private final ForwardProtocol mProtocol;
    private final StateController mState;
    private final FilterChain<ForwardExchange> mChain;
    private final RequestJournal mJournal;
    private final int mExtraHeaderBytes;
    private final Uploads mUploads;
    private final CallerConnections mConnections;
    private boolean mStopping;

    /**
     * Creates the server.
     *
     * @param extraHeaderBytes bytes by which a head may exceed the published limit
     */
    FrontServer(
            Vertx vertx,
            ForwardProtocol protocol,
            StateController state,
            FilterChain<ForwardExchange> chain,
            RequestJournal journal,
            DrainController drain,
            Clocks clocks,
            int extraHeaderBytes) {
        mProtocol = protocol;
        mState = state;
        mChain = chain;
        mJournal = journal;
        mExtraHeaderBytes = extraHeaderBytes;
        mUploads = new Uploads(clocks);
        mConnections = new CallerConnections(drain, clocks);
        mServer =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                // Otherwise connections are reported only after a first whole head.
                                .setHttp2ClearTextEnabled(false)
                                .setTcpNoDelay(true)
                                .setHandle100ContinueAutomatically(true)
                                .setAcceptBacklog(ACCEPT_BACKLOG)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxInitialLineLength(MAX_HEADER_BYTES));
        mServer.connectionHandler(this::onOpened);
        mServer.requestHandler(this::onRequest);
    }

    Uni<Void> listen(Address address) {
        return HttpListeners.listen(address, mServer);
    }

    /** Lets each answer whose head isn't written yet close its connection. */
    void closeConnectionsAfterAnswers() {
        mStopping = true;
    }

    private void onOpened(HttpConnection connection) {
        mConnections.onOpened(connection);
        connection.closeHandler(
                v -> {
                    mConnections.onClosed(connection);
                    mUploads.removeAll(connection);
                });
        connection.exceptionHandler(e -> mJournal.onConnectionFailed(e));
    }

    private void onRequest(HttpServerRequest request) {
        mConnections.onRequest(request.connection());
        request.exceptionHandler(mJournal::onConnectionFailed);
        request.response().endHandler(v -> mConnections.onAnswered(request.connection()));
        long maxBytes = limits().map(RequestLimits::maxBodyBytes).orElse(MAX_BODY_BYTES);
        mUploads.read(request, maxBytes, this::onReceived);
    }

    private Optional<RequestLimits> limits() {
        return mState.config().map(ForwardingConfig::limits);
    }

    private void onReceived(Uploads.Upload upload) {
        ForwardExchange exchange = exchange(upload);
        int headerBytes = HeaderSize.of(upload.request()) - mExtraHeaderBytes;
        if (limits().filter(l -> headerBytes > l.maxHeaderBytes()).isPresent()) {
            refuse(exchange, Reason.HEADERS_TOO_LARGE, "the headers are too long");
        } else if (upload.body().isTooLarge()) {
            refuse(exchange, Reason.TOO_LARGE, "the body is too long");
        } else {
            // Otherwise an exception in a filter would leave the request without an answer.
            Uni.createFrom()
                    .deferred(() -> mChain.proceed(exchange))
                    .subscribe()
                    .with(
                            outcome -> mJournal.onOutcome(exchange, outcome),
                            e -> mJournal.onInternalError(exchange, e));
        }
    }

    private ForwardExchange exchange(Uploads.Upload upload) {
        RequestHead head = mProtocol.readRequest(upload.request());
        CallerAnswer answer = new CallerAnswer(upload.request(), () -> mStopping);
        answer.onEnd(() -> mConnections.onWritten(upload.request().connection()));
        return new ForwardExchange(
                mJournal.newId(head),
                head,
                upload.body().body(),
                upload.arrival(),
                mState.config(),
                answer);
    }

    private void refuse(ForwardExchange exchange, Reason reason, String detail) {
        exchange.answer().closeConnectionAfterwards();
        mJournal.onOutcome(exchange, Outcome.notRun(Step.PARSE, reason, detail));
    }

    /** Refuses requests whose bodies have stalled, and closes idle connections. */
    void enforceIdleLimit(Instant now) {
        Optional<Duration> bound = limits().map(l -> l.idleTimeout().plus(IDLE_MARGIN));
        bound.ifPresent(
                b -> {
                    mConnections.closeIdleFor(b, now);
                    mUploads.removeStalled(b, now)
                            .forEach(
                                    u ->
                                            refuse(
                                                    exchange(u),
                                                    Reason.BODY_STALLED,
                                                    "the body has stopped coming"));
                });
    }

    /** Returns the number of requests whose bodies are still arriving. */
    int openUploads() {
        return mUploads.count();
    }

    /** Refuses the requests whose bodies are still arriving, since the process ends. */
    void refuseUploads() {
        mUploads.removeAll().forEach(u -> refuse(exchange(u), Reason.DRAINING, Refusals.STOPPING));
    }

    /** Closes the connections on which no request is running. */
    void closeIdle() {
        mConnections.closeIdle();
    }
}
