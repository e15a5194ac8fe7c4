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

/** What this daemon knows of one endpoint. */
final class EndpointState {
    private final Map<Long, OwnDispatch> mDispatches = new HashMap<>();
    private final Map<Long, Long> mMemory = new HashMap<>();
    private Optional<EndpointLoad> mLoad = Optional.empty();
    private Optional<PrefillRate> mRate = Optional.empty();
    private EndpointHealth mHealth = EndpointHealth.GOOD;
    private Instant mAskedAt = Instant.EPOCH;
    private int mOwnRequests;
    private long mNextDispatch;

    /** Counts a request that is sent; returns the number of the dispatch. */
    long sent(Lane lane, long uncachedTokens, long memoryTokens, Instant now) {
        sent(now);
        long number = mNextDispatch++;
        mDispatches.put(number, new OwnDispatch(lane, uncachedTokens, now, Optional.empty()));
        mMemory.put(number, memoryTokens);
        return number;
    }

    /** Counts a request of which nothing but its number is known. */
    void sent(Instant now) {
        mHealth = mHealth.sent(now);
        mOwnRequests++;
    }

    /** Notes that the prompt of a dispatch has been prefilled. */
    void prefilled(long dispatch, Instant now) {
        mDispatches.computeIfPresent(dispatch, (n, d) -> d.prefilled(now));
    }

    /** Notes that a dispatch has ended. */
    void ended(long dispatch, Instant now) {
        mMemory.remove(dispatch);
        mDispatches.computeIfPresent(
                dispatch, (n, d) -> d.prefilledAt().isPresent() ? d : d.prefilled(now));
        ended();
    }

    /** Notes that a request has ended. */
    void ended() {
        mOwnRequests--;
    }

    /** Takes over a report and forgets the dispatches that it covers wholly. */
    void report(EndpointLoad load) {
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

    /** Returns when the load was last reported or asked for, or the epoch. */
    Instant readAt() {
        Instant measured = mLoad.map(EndpointLoad::measuredAt).orElse(Instant.EPOCH);
        return measured.isAfter(mAskedAt) ? measured : mAskedAt;
    }

    /** Notes that the load is being asked for. */
    void reading(Instant now) {
        mAskedAt = now;
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
                load.freeTokens() - memorySince(load),
                Math.max(load.runningRequests(), mOwnRequests),
                mOwnRequests);
    }

    private long memorySince(EndpointLoad load) {
        long tokens = 0;
        for (Map.Entry<Long, Long> e : mMemory.entrySet()) {
            OwnDispatch dispatch = mDispatches.get(e.getKey());
            boolean since = dispatch != null && dispatch.sentAt().isAfter(load.measuredAt());
            tokens += since ? e.getValue() : 0;
        }
        return tokens;
    }

    private static EndpointLoad idle(Endpoint endpoint) {
        return new EndpointLoad(0, 0, 0, endpoint.memoryTokens(), Instant.EPOCH);
    }
}
