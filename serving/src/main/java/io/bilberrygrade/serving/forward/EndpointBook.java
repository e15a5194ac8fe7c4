package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.RestingEndpoints;
import io.bilberrygrade.core.forward.SilenceJudge.Heard;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.routing.EjectionBound;
import io.bilberrygrade.core.routing.EndpointHealth;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Owns what the daemon has seen of the endpoints itself: their health and their work. */
final class EndpointBook {
    private final EndpointDirectory mDirectory;
    private final WorkLedger mWork;
    private final Map<EndpointId, EndpointHealth> mFailing = new HashMap<>();
    private final Map<EndpointId, Heard> mHeard = new HashMap<>();
    private final RestingEndpoints mResting = new RestingEndpoints();

    EndpointBook(EndpointDirectory directory, WorkLedger work) {
        mDirectory = directory;
        mWork = work;
    }

    WorkLedger work() {
        return mWork;
    }

    /**
     * Returns the endpoints that may be chosen for a request, without those that it was sent to
     * already or that have asked for rest. If all are in bad health they are returned all the same,
     * since a guess beats a refusal.
     */
    ImmutableList<Candidate> candidates(
            ServiceId service, ImmutableSet<EndpointId> tried, Instant now) {
        ImmutableList<RegisteredEndpoint> usable =
                mDirectory.usable(service, now).stream()
                        .filter(e -> !mResting.resting(e.run(), now))
                        .collect(ImmutableList.toImmutableList());
        ImmutableSet<EndpointId> ejected = ejected(usable, now);
        ImmutableList<RegisteredEndpoint> untried = without(usable, tried);
        ImmutableList<RegisteredEndpoint> healthy = without(untried, ejected);
        ImmutableList<RegisteredEndpoint> choice = healthy.isEmpty() ? untried : healthy;
        return choice.stream()
                .map(e -> new Candidate(e, mWork.of(e.id(), now)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns all endpoints of a service that may be chosen. */
    ImmutableList<Candidate> candidates(ServiceId service, Instant now) {
        return candidates(service, ImmutableSet.of(), now);
    }

    private ImmutableSet<EndpointId> ejected(
            ImmutableList<RegisteredEndpoint> usable, Instant now) {
        ImmutableMap.Builder<EndpointId, EndpointHealth> failing = ImmutableMap.builder();
        usable.forEach(
                e -> {
                    EndpointHealth health = mFailing.get(e.id());
                    if (health != null && !health.available(now)) {
                        failing.put(e.id(), health);
                    }
                });
        return EjectionBound.ejected(
                failing.build(),
                usable.stream().map(RegisteredEndpoint::id).collect(ImmutableSet.toImmutableSet()));
    }

    private static ImmutableList<RegisteredEndpoint> without(
            ImmutableList<RegisteredEndpoint> endpoints, ImmutableSet<EndpointId> excluded) {
        return endpoints.stream()
                .filter(e -> !excluded.contains(e.id()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Takes note that a run wants nothing for a time; {@code draw} is uniform in [0, 1). */
    void rests(EndpointRun run, Duration rest, double draw, Instant now) {
        mResting.rest(run, rest, draw, now);
    }

    /** Returns when an endpoint of the service may get work again, if all of them rest now. */
    Optional<Instant> firstReturn(ServiceId service, Instant now) {
        return mResting.firstReturn(mDirectory.usable(service, now), now);
    }

    /** Returns whether all endpoints of a placement may still get work. */
    boolean mayGetWork(PlacedSend placed, Instant now) {
        return Stream.concat(Stream.of(placed.endpoint()), placed.helpers().stream())
                .allMatch(e -> mDirectory.mayGetWork(e, now) && !mResting.resting(e.run(), now));
    }

    /** Counts a request that was sent, which is a probe if the endpoint had failed. */
    void sent(EndpointId id, Instant now) {
        mFailing.computeIfPresent(id, (k, h) -> h.sent(now));
    }

    /** Takes note that an endpoint has sent something. */
    void heard(EndpointId id, Instant now) {
        mHeard.merge(id, Heard.NOTHING.bytes(now), (old, n) -> old.bytes(now));
    }

    /** Takes note of the first byte of the answer to a sending. */
    void answered(EndpointId id, Instant sentAt, Instant now) {
        mHeard.merge(id, Heard.NOTHING.first(sentAt, now), (old, n) -> old.first(sentAt, now));
    }

    /** Returns what was heard of an endpoint. */
    Heard heardOf(EndpointId id) {
        return mHeard.getOrDefault(id, Heard.NOTHING);
    }

    /** Forgets endpoints that are not known any more, and rests that are over. */
    void forgetUnknown(Instant now) {
        mResting.forgetOld(now);
        mHeard.keySet().removeIf(id -> mDirectory.find(id).isEmpty());
        mFailing.keySet().removeIf(id -> mDirectory.find(id).isEmpty());
    }

    /** Counts a success. */
    void succeeded(EndpointId id) {
        mFailing.remove(id);
    }

    /** Counts a failure. */
    void failed(EndpointId id, Instant now) {
        mFailing.merge(id, EndpointHealth.GOOD.failed(now), (old, f) -> old.failed(now));
    }

    /** Counts a refusal for lack of room. */
    void refused(EndpointId id, Instant now) {
        mFailing.merge(id, EndpointHealth.GOOD.refused(now), (old, f) -> old.refused(now));
    }
}
