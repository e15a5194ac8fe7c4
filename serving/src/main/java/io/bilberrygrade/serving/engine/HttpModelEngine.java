package io.bilberrygrade.serving.engine;

import com.google.common.collect.Streams;
import com.google.common.net.UrlEscapers;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.wire.CacheEventsDocument;
import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.bilberrygrade.serving.wire.SegmentDocument;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.time.InstantSource;
import java.util.stream.Collectors;

/** Calls model engines over HTTP. */
public final class HttpModelEngine implements ModelEngine {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_CONFLICT = 409;

    private final HttpCalls mCalls;
    private final EngineStream mStream;

    /** Creates the client. */
    public HttpModelEngine(HttpCalls calls, InstantSource clock) {
        mCalls = calls;
        mStream = new EngineStream(calls, clock);
    }

    @Override
    public Multi<EngineEvent> generate(Endpoint engine, GenerateCall call) {
        return mStream.open(engine, call);
    }

    @Override
    public Uni<Void> cancel(Endpoint engine, RequestId request, int attempt) {
        String path = "/v1/completions/" + escape(request.value()) + "/" + attempt;
        return mCalls.to(engine.address(), Step.RELAY)
                .send(HttpMethod.DELETE, path, CONTROL_TIMEOUT)
                .replaceWithVoid();
    }

    @Override
    public Uni<ReservationDocument> reserve(Endpoint engine, ReservationRequest request) {
        return mCalls.to(engine.address(), Step.DISPATCH)
                .sendJson(HttpMethod.POST, "/v1/reservations", request, CONTROL_TIMEOUT)
                .map(r -> r.as(ReservationDocument.class));
    }

    @Override
    public Uni<Void> release(Endpoint engine, String reservationId) {
        return mCalls.to(engine.address(), Step.RECLAIM)
                .send(
                        HttpMethod.DELETE,
                        "/v1/reservations/" + escape(reservationId),
                        CONTROL_TIMEOUT)
                .replaceWithVoid();
    }

    @Override
    public Uni<KvHandle> prefill(Endpoint engine, SegmentCall call) {
        return mCalls.to(engine.address(), Step.DISPATCH)
                .header(EndpointHeaders.REQUEST_ID, call.requestId())
                .header(EndpointHeaders.RESERVATION_ID, call.reservationId())
                .header(EndpointHeaders.FROM_TOKEN, Long.toString(call.from()))
                .header(EndpointHeaders.TO_TOKEN, Long.toString(call.to()))
                .header(EndpointHeaders.PRIORITY, Integer.toString(call.priority()))
                .header(EndpointHeaders.DEADLINE_MILLIS, Long.toString(call.remaining().toMillis()))
                .header(EndpointHeaders.IMPORT, imports(call.imports()))
                .sendBuffer(HttpMethod.POST, "/v1/segments", call.body(), call.remaining())
                .map(r -> r.as(SegmentDocument.class))
                .map(d -> new KvHandle(engine.address(), d.handle(), d.tokens()));
    }

    @Override
    public Uni<EngineStateDocument> state(Endpoint engine) {
        return mCalls.to(engine.address(), Step.RECLAIM)
                .send(HttpMethod.GET, "/v1/state", CONTROL_TIMEOUT)
                .map(r -> r.as(EngineStateDocument.class));
    }

    @Override
    public Uni<LoadDocument> load(Endpoint engine) {
        return mCalls.to(engine.address(), Step.ROUTE)
                .send(HttpMethod.GET, "/v1/load", CONTROL_TIMEOUT)
                .map(r -> r.as(LoadDocument.class));
    }

    @Override
    public Uni<CacheEventsDocument> cacheEvents(Endpoint engine, long after) {
        return mCalls.to(engine.address(), Step.ROUTE)
                .send(HttpMethod.GET, "/v1/cache-events?after=" + after, CONTROL_TIMEOUT)
                .map(r -> r.as(CacheEventsDocument.class));
    }

    @Override
    public Uni<OrderResultDocument> order(Endpoint engine, OrderDocument order) {
        return mCalls.to(engine.address(), Step.ORDER)
                .acceptStatus(HTTP_CONFLICT)
                .sendJson(HttpMethod.POST, "/v1/orders", order, CONTROL_TIMEOUT)
                .map(r -> r.as(OrderResultDocument.class));
    }

    static String imports(Iterable<KvHandle> handles) {
        return Streams.stream(handles)
                .map(h -> h.engine() + "/" + h.handle())
                .collect(Collectors.joining(","));
    }

    private static String escape(String segment) {
        return UrlEscapers.urlPathSegmentEscaper().escape(segment);
    }
}
