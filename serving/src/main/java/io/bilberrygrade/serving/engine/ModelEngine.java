package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.serving.wire.CacheEventsDocument;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

/**
 * Client of model engines, independent of the wire format, so that another engine protocol only
 * needs another implementation. Failures are {@link io.bilberrygrade.serving.error.CallException}s.
 */
public interface ModelEngine {
    /** Runs a prompt. Cancelling the subscription cancels the work on the engine. */
    Multi<EngineEvent> generate(Endpoint engine, GenerateCall call);

    /** Cancels one attempt of a request; idempotent. */
    Uni<Void> cancel(Endpoint engine, RequestId request, int attempt);

    /** Reserves KV memory. */
    Uni<ReservationDocument> reserve(Endpoint engine, ReservationRequest request);

    /** Releases a reservation and the KV caches exported under it; idempotent. */
    Uni<Void> release(Endpoint engine, String reservationId);

    /** Prefills one segment of a prompt under a reservation. */
    Uni<KvHandle> prefill(Endpoint engine, SegmentCall call);

    /** Reads the engine's state. */
    Uni<EngineStateDocument> state(Endpoint engine);

    /** Reads the engine's reported load, which may be out of date. */
    Uni<LoadDocument> load(Endpoint engine);

    /** Reads the prefix cache events after a sequence number. */
    Uni<CacheEventsDocument> cacheEvents(Endpoint engine, long after);

    /** Sends an order. A refusal because of an old fencing token is a result, not a failure. */
    Uni<OrderResultDocument> order(Endpoint engine, OrderDocument order);
}
