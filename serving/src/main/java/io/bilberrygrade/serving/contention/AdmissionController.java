package io.bilberrygrade.serving.contention;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import io.bilberrygrade.core.contention.AdmissionDecision;
import io.bilberrygrade.core.contention.ContentionPolicy;
import io.bilberrygrade.core.contention.ServiceLoad;
import io.bilberrygrade.core.contention.ServiceRequest;
import io.bilberrygrade.core.contention.SlotTimes;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides on the requests that arrive at this instance, in deployments with a trait that calls for
 * it, and learns from those that end. Confined to the event loop.
 */
public final class AdmissionController {
    /** Maximum number of engines that read one prompt; from the engines' protocol. */
    private static final int MAX_READERS = 17;

    /**
     * Part of the mean duration of a plain service's requests that a request takes at least, for
     * the prediction; durations vary, and a refusal needs a clear case.
     */
    private static final double CLEAR_FRACTION = 0.5;

    private final Supplier<FleetTraits> mTraits;
    private final IntSupplier mInstances;
    private final UniformRandomProvider mRandom;
    private final ContentionLog mLog;
    private final SlotTimes mSlotTimes = new SlotTimes();
    private final Map<ServiceId, ContentionPolicy> mPolicies = new HashMap<>();

    /** Creates the controller; {@code instances} returns the size of the fleet. */
    public AdmissionController(
            Supplier<FleetTraits> traits,
            IntSupplier instances,
            UniformRandomProvider random,
            EventLog events) {
        mTraits = traits;
        mInstances = instances;
        mRandom = random;
        mLog = new ContentionLog(events);
    }

    /**
     * Decides on a request; empty if the deployment doesn't call for it, or no endpoint is
     * eligible, which is decided elsewhere.
     *
     * @param sumsAge time since the other instances' work was received
     */
    public Optional<Admission> decide(
            Arrival arrival, ImmutableList<Candidate> candidates, Duration sumsAge, Instant now) {
        if (!mTraits.get().any() || candidates.isEmpty()) {
            return Optional.empty();
        }
        ContentionPolicy policy =
                mPolicies.computeIfAbsent(arrival.service().id(), k -> new ContentionPolicy());
        ServiceLoad load = load(arrival, candidates, sumsAge);
        boolean crowdedBefore = policy.isCrowded(arrival.rank());
        AdmissionDecision decision =
                policy.decide(
                        request(arrival, candidates.size()),
                        load,
                        arrival.digest(),
                        mRandom.nextDouble(),
                        now);
        mLog.record(arrival, decision, load, policy, crowdedBefore);
        return Optional.of(new Admission(arrival, decision, load.calls() < load.slots(), now));
    }

    private ServiceRequest request(Arrival arrival, int engines) {
        double learned = mSlotTimes.millis(arrival.route().name());
        double readMillis =
                arrival.need()
                        .map(
                                n ->
                                        arrival.service()
                                                        .engine()
                                                        .orElseThrow()
                                                        .readMillis(n.prompt().promptTokens())
                                                / (n.strict() ? 1 : Math.min(MAX_READERS, engines)))
                        .orElse(learned * CLEAR_FRACTION);
        double slotMillis = arrival.need().isPresent() ? readMillis + learned : learned;
        return new ServiceRequest(
                arrival.rank(),
                arrival.route().name(),
                arrival.team(),
                arrival.length(),
                readMillis,
                learned == 0 ? 0 : slotMillis,
                arrival.route().goal(),
                arrival.timeLeft());
    }

    private ServiceLoad load(
            Arrival arrival, ImmutableList<Candidate> candidates, Duration sumsAge) {
        long memory =
                arrival.need().isPresent()
                        ? arrival.service().engine().map(EngineCost::memoryTokens).orElse(0L)
                        : 0;
        return new ServiceLoad(
                Ints.saturatedCast(candidates.stream().mapToLong(c -> c.endpoint().slots()).sum()),
                Ints.saturatedCast(candidates.stream().mapToLong(c -> c.work().calls()).sum()),
                candidates.stream().mapToDouble(c -> c.work().readMillis()).min().orElse(0),
                memory * candidates.size(),
                candidates.stream().mapToLong(c -> c.work().tokens()).sum(),
                sumsAge,
                mInstances.getAsInt());
    }

    /** Records that the caller has a request's whole answer. */
    public void recordAnswered(
            Admission admission, long events, Instant firstEventAt, Instant now) {
        boolean stream = admission.arrival().need().isPresent();
        if (stream ? events > 0 : admission.slotsFree()) {
            mSlotTimes.record(
                    admission.arrival().route().name(),
                    Duration.between(stream ? firstEventAt : admission.at(), now));
        }
    }

    /** Records that an admitted request has ended, however it did. */
    public void recordEnded(Admission admission) {
        if (admission.decision() instanceof AdmissionDecision.Admit admit) {
            Optional.ofNullable(mPolicies.get(admission.arrival().service().id()))
                    .ifPresent(p -> p.recordEnded(admit.runAs()));
        }
    }
}
