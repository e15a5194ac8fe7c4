package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.gang.GangPlan;
import io.bilberrygrade.core.gang.GangSegment;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.controller.Dispatch;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.engine.KvHandle;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.engine.SegmentCall;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

/** Prefills all segments of a gang except the last, in sequence. */
final class GangPrefill {
    private static final Duration MIN_TIMEOUT = Duration.ofSeconds(3);
    private static final int TIMEOUT_FACTOR = 4;

    private final ModelEngine mEngine;
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final InstantSource mClock;
    private final GangCall mCall;
    private final GangPlan mPlan;
    private final ImmutableList<String> mReservations;

    GangPrefill(
            ModelEngine engine,
            EndpointController endpoints,
            PlacementController placement,
            InstantSource clock,
            GangCall call,
            GangPlan plan,
            ImmutableList<String> reservations) {
        mEngine = engine;
        mEndpoints = endpoints;
        mPlacement = placement;
        mClock = clock;
        mCall = call;
        mPlan = plan;
        mReservations = reservations;
    }

    /**
     * Prefills the segments and returns the last engine with its reservation and the exported KV
     * caches.
     */
    Uni<GangMember> run() {
        return prefillFrom(0, ImmutableList.of());
    }

    private Uni<GangMember> prefillFrom(int index, ImmutableList<KvHandle> handles) {
        if (index == mPlan.segments().size() - 1) {
            Placement last =
                    mPlacement.segmentPlacement(
                            mCall.deployment(), request(), mPlan.last(), mClock.instant());
            return Uni.createFrom()
                    .item(new GangMember(last, Optional.of(mReservations.get(index)), handles));
        }
        return prefill(mPlan.segments().get(index), mReservations.get(index), handles)
                .chain(
                        h ->
                                prefillFrom(
                                        index + 1,
                                        ImmutableList.<KvHandle>builder()
                                                .addAll(handles)
                                                .add(h)
                                                .build()));
    }

    private Uni<KvHandle> prefill(
            GangSegment segment, String reservation, ImmutableList<KvHandle> imports) {
        Instant now = mClock.instant();
        Placement placement =
                mPlacement.segmentPlacement(mCall.deployment(), request(), segment, now);
        Endpoint engine = segment.engine().endpoint();
        Prompt part = new Prompt((int) segment.tokens(), 0, ImmutableLongArray.of());
        Dispatch dispatch =
                mEndpoints.recordDispatch(
                        mCall.deployment(), request().model(), placement, part, now);
        SegmentCall call =
                new SegmentCall(
                        request().id().value(),
                        reservation,
                        segment.from(),
                        segment.to(),
                        placement.priority(),
                        timeout(placement, request().remaining(now)),
                        imports,
                        mCall.body());
        return mEngine.prefill(engine, call)
                .invoke(h -> dispatch.firstToken(mClock.instant()))
                .onFailure(CallException.class)
                .invoke(e -> recordFailure(engine.id(), (CallException) e))
                .onTermination()
                .invoke(() -> dispatch.ended(mClock.instant()));
    }

    private void recordFailure(EndpointId engine, CallException e) {
        if (e.delivery() != Delivery.REFUSED) {
            mEndpoints.failed(engine, mClock.instant());
        }
    }

    private InferenceRequest request() {
        return mCall.request();
    }

    private static Duration timeout(Placement placement, Duration remaining) {
        Duration predicted = placement.predictedTimeToFirstToken().multipliedBy(TIMEOUT_FACTOR);
        List<Duration> bounds = List.of(predicted, MIN_TIMEOUT);
        Duration timeout = bounds.stream().max(Duration::compareTo).orElseThrow();
        return timeout.compareTo(remaining) < 0 ? timeout : remaining;
    }
}
