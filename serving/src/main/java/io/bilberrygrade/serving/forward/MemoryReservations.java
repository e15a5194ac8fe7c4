package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.engine.EngineMemory;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Reserves memory on several engines for one attempt, all or nothing. */
final class MemoryReservations {
    private final EngineMemory mMemory;
    private final InstanceId mSelf;
    private final UniformRandomProvider mRandom;
    private final MemoryReservation.ReservationContext mContext;

    MemoryReservations(
            EngineMemory memory,
            InstanceId self,
            UniformRandomProvider random,
            Timers timers,
            Clocks clocks,
            EventLog events) {
        mMemory = memory;
        mSelf = self;
        mRandom = random;
        mContext = new MemoryReservation.ReservationContext(timers, clocks, events);
    }

    /**
     * Returns the reservations of an attempt, or empty if an engine lacks memory or doesn't answer.
     */
    Uni<Optional<ImmutableList<MemoryReservation>>> reserve(
            String request, AttemptPlan attemptPlan) {
        ImmutableList<MemoryReservation> wanted =
                attemptPlan.reservations().entrySet().stream()
                        .map(
                                e ->
                                        reservation(
                                                request,
                                                engine(attemptPlan, e.getKey()),
                                                e.getValue()))
                        .collect(ImmutableList.toImmutableList());
        List<Uni<Boolean>> orders = wanted.stream().map(MemoryReservation::acquire).toList();
        return Uni.join()
                .all(orders)
                .andCollectFailures()
                .onFailure()
                .invoke(() -> wanted.forEach(MemoryReservation::release))
                .map(held -> held.stream().allMatch(h -> h))
                .map(
                        all -> {
                            if (all) {
                                return Optional.of(wanted);
                            }
                            wanted.forEach(MemoryReservation::release);
                            return Optional.empty();
                        });
    }

    private MemoryReservation reservation(String request, RegisteredEndpoint engine, long tokens) {
        String id = mSelf.value() + "-" + Long.toHexString(mRandom.nextLong());
        return new MemoryReservation(mMemory, engine, id, tokens, request, mContext);
    }

    private static RegisteredEndpoint engine(AttemptPlan attemptPlan, EndpointId id) {
        return attemptPlan.helpers().stream()
                .filter(h -> h.id().equals(id))
                .findFirst()
                .orElseThrow();
    }
}
