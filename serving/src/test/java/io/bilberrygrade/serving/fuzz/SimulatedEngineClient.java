package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.engine.EngineEvent;
import io.bilberrygrade.serving.engine.GenerateCall;
import io.bilberrygrade.serving.engine.KvHandle;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.engine.SegmentCall;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.wire.CacheEventsDocument;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.function.Function;

/** Client of one daemon for the simulated engines. Refuses all calls but completions. */
final class SimulatedEngineClient implements ModelEngine {
    private final Function<EndpointId, SimulatedEngine> mEngines;
    private final SimulatedProcess mCaller;

    SimulatedEngineClient(Function<EndpointId, SimulatedEngine> engines, SimulatedProcess caller) {
        mEngines = engines;
        mCaller = caller;
    }

    @Override
    public Multi<EngineEvent> generate(Endpoint engine, GenerateCall call) {
        return Multi.createFrom()
                .emitter(e -> mEngines.apply(engine.id()).generate(e, mCaller, call));
    }

    @Override
    public Uni<Void> cancel(Endpoint engine, RequestId request, int attempt) {
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<ReservationDocument> reserve(Endpoint engine, ReservationRequest request) {
        return failRefused(engine);
    }

    @Override
    public Uni<Void> release(Endpoint engine, String reservationId) {
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<KvHandle> prefill(Endpoint engine, SegmentCall call) {
        return failRefused(engine);
    }

    @Override
    public Uni<EngineStateDocument> state(Endpoint engine) {
        return failRefused(engine);
    }

    @Override
    public Uni<LoadDocument> load(Endpoint engine) {
        return failRefused(engine);
    }

    @Override
    public Uni<CacheEventsDocument> cacheEvents(Endpoint engine, long after) {
        return failRefused(engine);
    }

    @Override
    public Uni<OrderResultDocument> order(Endpoint engine, OrderDocument order) {
        return failRefused(engine);
    }

    private static <T> Uni<T> failRefused(Endpoint engine) {
        return Uni.createFrom()
                .failure(
                        new CallException(
                                Step.DISPATCH,
                                engine.id().value(),
                                Delivery.REFUSED,
                                "not simulated"));
    }
}
