package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointBackoffs;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.LostRequestDetector;
import io.bilberrygrade.core.forward.LostRequestDetector.EndpointActivity;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.ratelimit.EndpointRateLimits;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.core.ratelimit.RateLimitPermits;
import io.bilberrygrade.core.room.EngineEnd;
import io.bilberrygrade.core.room.RoomBounds;
import io.bilberrygrade.core.routing.EjectionBound;
import io.bilberrygrade.core.routing.EndpointHealth;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.room.ColdController;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Tracks what this daemon observes of the endpoints: health, activity, backoff and work in flight.
 */
final class EndpointTracker {
    /** Time for which data of an unregistered endpoint shows that it still runs. */
    private static final Duration ACTIVITY_RETENTION = Duration.ofSeconds(10);

    private final EndpointDirectory mDirectory;
    private final WorkLedger mWork;
    private final Map<EndpointRun, EndpointHealth> mHealth = new HashMap<>();
    private final Map<EndpointId, EndpointActivity> mActivity = new HashMap<>();
    private final EndpointBackoffs mBackoffs = new EndpointBackoffs();
    private final ColdController mCold;
    private final EndpointRateLimits mRateLimits;
    private final RateLimitPermits mPermits = new RateLimitPermits();

    /** Creates a tracker of endpoints that are never cold. */
    EndpointTracker(EndpointDirectory directory, WorkLedger work) {
        this(
                directory,
                work,
                new ColdController(
                        directory,
                        Optional::empty,
                        Optional.empty(),
                        InstantSource.system(),
                        InstantSource.system(),
                        e -> {}));
    }

    /** Creates the tracker of a daemon whose deployment may bound cold endpoints. */
    EndpointTracker(
            StateController state,
            WorkLedger work,
            RoomBounds bounds,
            Clocks clocks,
            EventLog events) {
        this(
                state.endpoints(),
                work,
                new ColdController(
                        state.endpoints(),
                        state::config,
                        bounds.cold(),
                        clocks.steady(),
                        clocks.timeOfDay(),
                        events));
    }

    EndpointTracker(EndpointDirectory directory, WorkLedger work, ColdController cold) {
        mDirectory = directory;
        mWork = work;
        mCold = cold;
        mRateLimits = new EndpointRateLimits(cold);
    }

    /** Returns the controller of cold endpoints. */
    ColdController cold() {
        return mCold;
    }

    WorkLedger work() {
        return mWork;
    }

    /** Returns the rate limits that endpoints state. */
    EndpointRateLimits rateLimits() {
        return mRateLimits;
    }

    /**
     * Records the rate limit that an answer states, if any; {@code sentAt} is when its request was
     * sent. Returns whether the limit in force changed.
     */
    boolean recordRateLimit(
            EndpointRun run, Optional<RateLimit> stated, Instant sentAt, Instant now) {
        return stated.map(l -> mRateLimits.recordLimit(run, l, now))
                .orElseGet(() -> mRateLimits.recordNoLimit(run, sentAt, now));
    }

    /** Returns the permits of this daemon at rate-limited endpoints. */
    RateLimitPermits permits() {
        return mPermits;
    }

    /**
     * Returns the endpoints eligible for a request, without those already tried, those in backoff
     * and rate-limited ones without a permit. If none of them is healthy, returns them
     * nevertheless, since an attempt that may fail is better than a refusal.
     */
    ImmutableList<Candidate> candidates(
            ServiceId service, ImmutableSet<EndpointId> tried, Instant now) {
        limited(service, tried, now).forEach(e -> mPermits.recordDemand(e.run(), false));
        return candidates(filter(service, e -> isAccepting(e.run(), now), now), tried, now);
    }

    /**
     * Returns the endpoints of a service that are eligible now, without rate-limited ones, which
     * can't be counted on.
     */
    ImmutableList<Candidate> candidates(ServiceId service, Instant now) {
        return candidates(
                filter(service, e -> isAccepting(e.run(), now) && !isLimited(e.run()), now),
                ImmutableSet.of(),
                now);
    }

    private ImmutableList<Candidate> candidates(
            ImmutableList<RegisteredEndpoint> accepting,
            ImmutableSet<EndpointId> tried,
            Instant now) {
        ImmutableSet<EndpointId> ejected = ejected(accepting, now);
        ImmutableList<RegisteredEndpoint> untried = without(accepting, tried);
        ImmutableList<RegisteredEndpoint> healthy = without(untried, ejected);
        ImmutableList<RegisteredEndpoint> eligible = healthy.isEmpty() ? untried : healthy;
        return eligible.stream()
                .map(e -> new Candidate(e, mWork.of(e.id(), now), isLimited(e.run())))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<RegisteredEndpoint> filter(
            ServiceId service, Predicate<RegisteredEndpoint> condition, Instant now) {
        return mDirectory.usable(service, now).stream()
                .filter(condition)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the rate-limited endpoints that a request could use if there are permits. */
    private ImmutableList<RegisteredEndpoint> limited(
            ServiceId service, ImmutableSet<EndpointId> tried, Instant now) {
        return mRateLimits.isEmpty()
                ? ImmutableList.of()
                : filter(
                        service,
                        e ->
                                isLimited(e.run())
                                        && !mBackoffs.isBackingOff(e.run(), now)
                                        && !tried.contains(e.id()),
                        now);
    }

    private boolean isLimited(EndpointRun run) {
        return mRateLimits.isLimited(run);
    }

    /** Returns whether a run accepts a request now. */
    private boolean isAccepting(EndpointRun run, Instant now) {
        return !mBackoffs.isBackingOff(run, now)
                && (!isLimited(run) || mPermits.isAvailable(run, now));
    }

    /**
     * Records a request that could use only rate-limited endpoints, for which there is no permit.
     */
    void recordStarved(ServiceId service, ImmutableSet<EndpointId> tried, Instant now) {
        limited(service, tried, now).forEach(e -> mPermits.recordDemand(e.run(), true));
    }

    /**
     * Returns whether the rate limit of an endpoint that the request hasn't tried may not be used
     * up by the fleet.
     */
    boolean mayHaveRoom(ServiceId service, ImmutableSet<EndpointId> tried, Instant now) {
        return limited(service, tried, now).stream()
                .anyMatch(e -> mPermits.mayHaveRoom(e.run(), now));
    }

    private ImmutableSet<EndpointId> ejected(
            ImmutableList<RegisteredEndpoint> usable, Instant now) {
        ImmutableMap.Builder<EndpointId, EndpointHealth> failing = ImmutableMap.builder();
        usable.forEach(
                e -> {
                    EndpointHealth health = mHealth.get(e.run());
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

    /** Sends no work to a run of an endpoint for a time; {@code draw} is uniform in [0, 1). */
    void backOff(EndpointRun run, Duration backoff, double draw, Instant now) {
        mBackoffs.recordBackoff(run, backoff, draw, now);
    }

    /**
     * Returns when an endpoint of the service is expected to accept requests again, if all of them
     * back off or have used up their rate limits now.
     */
    Optional<Instant> earliestReturn(ServiceId service, Instant now) {
        if (!filter(service, e -> isAccepting(e.run(), now), now).isEmpty()) {
            return Optional.empty();
        }
        Optional<Instant> backoffEnd =
                mBackoffs.earliestAvailableAt(
                        filter(service, e -> mBackoffs.isBackingOff(e.run(), now), now), now);
        return Stream.concat(
                        backoffEnd.stream(),
                        limited(service, ImmutableSet.of(), now).stream()
                                .map(e -> mPermits.roomAt(e.run(), now)))
                .min(Instant::compareTo);
    }

    /** Returns whether only evacuated data centres have eligible endpoints of a service. */
    boolean isEvacuated(ServiceId service, Instant now) {
        return mDirectory.isEvacuated(service, now);
    }

    /** Returns whether all endpoints of a plan may still get work. */
    boolean isEligible(AttemptPlan attemptPlan, Instant now) {
        RegisteredEndpoint first = attemptPlan.endpoint();
        return mDirectory.isEligible(first, now)
                && isAccepting(first.run(), now)
                && attemptPlan.helpers().stream()
                        .allMatch(
                                h ->
                                        mDirectory.isEligible(h, now)
                                                && !mBackoffs.isBackingOff(h.run(), now)
                                                && !isLimited(h.run()));
    }

    /**
     * Records that a request was sent, which is a probe if the endpoint was failing, and uses up a
     * permit if the endpoint is rate-limited.
     */
    void recordSent(EndpointId id, Instant now) {
        run(id).ifPresent(
                        run -> {
                            mPermits.use(run, now);
                            mHealth.computeIfPresent(run, (k, h) -> h.sent(now));
                        });
    }

    /**
     * Uses up the permits for parts of a prompt that helpers prefill, each a request of its own.
     */
    void recordHelpers(ImmutableList<RegisteredEndpoint> helpers, Instant now) {
        helpers.forEach(h -> mPermits.use(h.run(), now));
    }

    /** Records that an endpoint has sent bytes. */
    void recordBytes(EndpointId id, Instant now) {
        mActivity.merge(id, EndpointActivity.NOTHING.withData(now), (old, n) -> old.withData(now));
    }

    /** Records the first byte of the answer to an attempt. */
    void recordFirstByte(EndpointId id, Instant sentAt, Instant now) {
        mActivity.merge(
                id,
                EndpointActivity.NOTHING.withFirstByte(sentAt, now),
                (old, n) -> old.withFirstByte(sentAt, now));
    }

    /** Returns whether a request that was sent at the given time must be considered lost. */
    boolean isLost(EndpointId id, Instant sentAt, Duration patience, Instant now) {
        return LostRequestDetector.isLost(sentAt, patience, activityOf(id), now);
    }

    private EndpointActivity activityOf(EndpointId id) {
        return mActivity.getOrDefault(id, EndpointActivity.NOTHING);
    }

    /** Returns whether the run that got a request at the given time has ended. */
    boolean hasEnded(RegisteredEndpoint run, Instant sentAt, Instant now) {
        return EngineEnd.hasEnded(
                run,
                mDirectory.find(run.id(), now),
                mDirectory.leaving().contains(run.run()),
                activityOf(run.id()).lastDataAt().filter(sentAt::isBefore).orElse(sentAt),
                now);
    }

    /** Removes the state of endpoints that are no longer registered, and backoffs that are over. */
    void removeUnknown(Instant now) {
        mBackoffs.removeExpired(now);
        mRateLimits.removeOld(this::isRegistered, now);
        mPermits.retain(mRateLimits);
        Instant recent = now.minus(ACTIVITY_RETENTION);
        mActivity
                .entrySet()
                .removeIf(
                        e ->
                                mDirectory.find(e.getKey()).isEmpty()
                                        && e.getValue()
                                                .lastDataAt()
                                                .filter(recent::isBefore)
                                                .isEmpty());
        mHealth.keySet().removeIf(run -> !isRegistered(run));
    }

    /** Returns whether a run is the registered one of its endpoint. */
    boolean isRegistered(EndpointRun run) {
        return run(run.id()).filter(run::equals).isPresent();
    }

    private Optional<EndpointRun> run(EndpointId id) {
        return mDirectory.find(id).map(RegisteredEndpoint::run);
    }

    /** Records a success, which ends the failing state. */
    void recordSuccess(EndpointId id) {
        run(id).ifPresent(mHealth::remove);
    }

    /**
     * Records a failure. Further ones while the run is ejected are of requests that were sent
     * before, such as those that the same crash cut off, and count as one with the first.
     */
    void recordFailure(EndpointRun run, Instant now) {
        recordIncident(run, health -> health.failed(now), now);
    }

    /**
     * Records that an endpoint has sent nothing of an answer for long. It may be sound and go on,
     * so it is ejected only as long as one that refuses requests for lack of capacity.
     */
    void recordSilence(EndpointRun run, Instant now) {
        recordIncident(run, health -> health.refused(now), now);
    }

    private void recordIncident(
            EndpointRun run, UnaryOperator<EndpointHealth> change, Instant now) {
        mHealth.merge(
                run,
                change.apply(EndpointHealth.GOOD),
                (old, f) -> now.isBefore(old.ejectedUntil()) ? old : change.apply(old));
    }

    /**
     * Returns whether nothing is known to be wrong with a run, so that its responses show what
     * requests cost.
     */
    boolean isSound(EndpointRun run, Instant now) {
        return !mHealth.containsKey(run) && !mBackoffs.isBackingOff(run, now);
    }

    /** Records a refusal for lack of capacity. */
    void recordRefusal(EndpointId id, Instant now) {
        run(id).ifPresent(
                        run ->
                                mHealth.merge(
                                        run,
                                        EndpointHealth.GOOD.refused(now),
                                        (old, f) -> old.refused(now)));
    }
}
