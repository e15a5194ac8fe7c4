package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.contention.Admission;
import io.bilberrygrade.serving.error.ErrorGuard;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * One request and its answer while they pass the filters. The route comes from the configuration
 * that was in force at arrival, or from the first one known after; the key is checked again at each
 * attempt.
 */
final class ForwardExchange {
    private final RequestId mId;
    private final RequestHead mHead;
    private final Buffer mBody;
    private final Instant mArrival;
    private Optional<ForwardingConfig> mConfig;
    private final CallerAnswer mAnswer;
    private Optional<Route> mRoute = Optional.empty();
    private Optional<TeamId> mTeam = Optional.empty();
    private Optional<Admission> mAdmission = Optional.empty();
    private ImmutableSet<Suspect> mSuspects = ImmutableSet.of();
    private final ErrorGuard mGuard = new ErrorGuard();
    private Runnable mOnAbandoned = () -> {};
    private boolean mAbandoned;
    private Optional<Integer> mAttemptsLeft = Optional.empty();

    ForwardExchange(
            RequestId id,
            RequestHead head,
            Buffer body,
            Instant arrival,
            Optional<ForwardingConfig> config,
            CallerAnswer answer) {
        mId = id;
        mHead = head;
        mBody = body;
        mArrival = arrival;
        mConfig = config;
        mAnswer = answer;
    }

    RequestId id() {
        return mId;
    }

    RequestHead head() {
        return mHead;
    }

    Buffer body() {
        return mBody;
    }

    Instant arrival() {
        return mArrival;
    }

    /** Returns the configuration at arrival; empty if the daemon had none. */
    Optional<ForwardingConfig> config() {
        return mConfig;
    }

    /** Replaces the configuration by one that came into force while the request waited. */
    void replaceConfig(ForwardingConfig config) {
        mConfig = Optional.of(config);
    }

    CallerAnswer answer() {
        return mAnswer;
    }

    /** Returns the guard in which all callbacks of the request run. */
    ErrorGuard guard() {
        return mGuard;
    }

    Route route() {
        return mRoute.orElseThrow();
    }

    void setRoute(Route route) {
        mRoute = Optional.of(route);
    }

    /** Returns the team that owns the request's key; empty on open routes. */
    Optional<TeamId> team() {
        return mTeam;
    }

    void setTeam(TeamId team) {
        mTeam = Optional.of(team);
    }

    /** Returns the decision on the request; empty if none was called for. */
    Optional<Admission> admission() {
        return mAdmission;
    }

    void setAdmission(Optional<Admission> admission) {
        mAdmission = admission;
    }

    /** Returns the rank at which the request is queued at engines. */
    Rank runAs() {
        return mAdmission.map(Admission::runAs).orElseGet(this::rank);
    }

    /** Returns the rank of the request by the configuration at arrival. */
    Rank rank() {
        return Rank.of(mTeam.flatMap(t -> mConfig.flatMap(c -> c.keys().rank(t))), route().rank());
    }

    /** Records that a peer handed the request over, and how many endpoints may still get it. */
    void setAttemptsLeft(int attempts) {
        mAttemptsLeft = Optional.of(attempts);
    }

    /** Returns whether a peer handed the request over. */
    boolean isHandedOver() {
        return mAttemptsLeft.isPresent();
    }

    /** Returns the number of endpoints that may get the request. */
    int maxAttempts() {
        return Math.min(route().maxAttempts(), mAttemptsLeft.orElse(Integer.MAX_VALUE));
    }

    /** Registers how to end the request if the process ends first; replaces the action before. */
    void onAbandoned(Runnable action) {
        mOnAbandoned = action;
    }

    /** Ends the request without waiting any longer, since the process ends. */
    void abandon() {
        mAbandoned = true;
        mGuard.run(mOnAbandoned);
    }

    /** Returns whether the request may not be passed on any more. */
    boolean isAbandoned() {
        return mAbandoned;
    }

    /** Returns the time since the request's arrival in milliseconds. */
    long millisSinceArrival(Instant at) {
        return Duration.between(mArrival, at).toMillis();
    }

    /**
     * Returns by what the request may crash endpoints. Reads the whole body at the first call, so
     * that it is called only if crashes are known or an endpoint closed its connection early.
     */
    ImmutableSet<Suspect> suspects() {
        if (mSuspects.isEmpty()) {
            mSuspects =
                    ImmutableSet.<Suspect>builder()
                            .addAll(mHead.sharedParts().stream().map(Suspect::part).iterator())
                            .add(Suspect.request(RequestDigest.of(mHead, mTeam, mBody)))
                            .build();
        }
        return mSuspects;
    }

    /** Returns the earlier of the caller's deadline and the route's. */
    Instant deadline() {
        Instant byRoute = mArrival.plus(route().timeout());
        return mHead.timeLeft().map(mArrival::plus).filter(byRoute::isAfter).orElse(byRoute);
    }
}
