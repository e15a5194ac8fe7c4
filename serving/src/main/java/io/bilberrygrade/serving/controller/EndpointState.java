package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.routing.BacklogEstimator;
import io.bilberrygrade.core.routing.EndpointHealth;
import io.bilberrygrade.core.routing.EndpointLoad;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.OwnDispatch;
import io.bilberrygrade.core.routing.PrefillRate;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Load, prefill rate, health and requests in flight of one endpoint, as observed by this daemon.
 */
final class EndpointState {
    private final Map<Long, OwnDispatch> mDispatches = new HashMap<>();
    private final Map<Long, Long> mMemoryTokens = new HashMap<>();
    private Optional<EndpointLoad> mLoad = Optional.empty();
    private Optional<PrefillRate> mRate = Optional.empty();
    private EndpointHealth mHealth = EndpointHealth.GOOD;
    private Instant mRequestedAt = Instant.EPOCH;
    private int mOwnRequests;
    private long mNextDispatch;

    /** Records a request that is sent to an engine and returns its dispatch number. */
    long recordSent(Lane lane, long uncachedTokens, long memoryTokens, Instant now) {
        recordSent(now);
        long number = mNextDispatch++;
        mDispatches.put(number, new OwnDispatch(lane, uncachedTokens, now, Optional.empty()));
        mMemoryTokens.put(number, memoryTokens);
        return number;
    }

    /** Records a request without tracking its tokens, such as a call to a plain service. */
    void recordSent(Instant now) {
        mHealth = mHealth.sent(now);
        mOwnRequests++;
    }

    /** Records that the prompt of a dispatch has been prefilled. */
    void recordPrefill(long dispatch, Instant now) {
        mDispatches.computeIfPresent(dispatch, (n, d) -> d.prefilled(now));
    }

    /** Records the end of a dispatch. */
    void recordEnd(long dispatch, Instant now) {
        mMemoryTokens.remove(dispatch);
        mDispatches.computeIfPresent(
                dispatch, (n, d) -> d.prefilledAt().isPresent() ? d : d.prefilled(now));
        recordEnd();
    }

    /** Records the end of a request. */
    void recordEnd() {
        mOwnRequests--;
    }

    /**
     * Replaces the load report unless the known one is newer, and drops the dispatches that it
     * fully covers, those prefilled by the time it was measured.
     */
    void updateLoad(EndpointLoad load) {
        if (mLoad.filter(l -> l.measuredAt().isAfter(load.measuredAt())).isPresent()) {
            return;
        }
        mLoad = Optional.of(load);
        mDispatches
                .values()
                .removeIf(
                        d ->
                                d.prefilledAt()
                                        .filter(t -> !t.isAfter(load.measuredAt()))
                                        .isPresent());
    }

    /** Returns when the load was last measured or requested, or the epoch. */
    Instant loadRefreshedAt() {
        Instant measured = mLoad.map(EndpointLoad::measuredAt).orElse(Instant.EPOCH);
        return measured.isAfter(mRequestedAt) ? measured : mRequestedAt;
    }

    /** Records that the load is being requested. */
    void recordLoadRequest(Instant now) {
        mRequestedAt = now;
    }

    Optional<PrefillRate> rate() {
        return mRate;
    }

    void setRate(PrefillRate rate) {
        mRate = Optional.of(rate);
    }

    EndpointHealth health() {
        return mHealth;
    }

    void setHealth(EndpointHealth health) {
        mHealth = health;
    }

    int ownRequests() {
        return mOwnRequests;
    }

    EndpointView view(
            Endpoint endpoint, boolean available, PrefillRate prior, int daemons, Instant now) {
        PrefillRate rate = mRate.orElse(prior);
        EndpointLoad load = mLoad.orElseGet(() -> idle(endpoint));
        return new EndpointView(
                endpoint,
                available,
                BacklogEstimator.estimate(load, mDispatches.values(), rate, daemons, now),
                rate,
                load.freeTokens() - memorySentAfter(load),
                Math.max(load.runningRequests(), mOwnRequests),
                mOwnRequests);
    }

    private long memorySentAfter(EndpointLoad load) {
        long tokens = 0;
        for (Map.Entry<Long, Long> e : mMemoryTokens.entrySet()) {
            OwnDispatch dispatch = mDispatches.get(e.getKey());
            boolean sentAfter = dispatch != null && dispatch.sentAt().isAfter(load.measuredAt());
            tokens += sentAfter ? e.getValue() : 0;
        }
        return tokens;
    }

    private static EndpointLoad idle(Endpoint endpoint) {
        return new EndpointLoad(0, 0, 0, endpoint.memoryTokens(), Instant.EPOCH);
    }
}
