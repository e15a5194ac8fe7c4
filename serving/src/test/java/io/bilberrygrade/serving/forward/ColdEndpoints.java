package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.KeyRing;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.RequestLimits;
import io.bilberrygrade.core.forward.RouteTable;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.ColdBounds;
import io.bilberrygrade.core.room.ColdTraits;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Endpoints that come back cold, and the members of an emulated fleet that send them a burst. The
 * other endpoints of the service are full, so that each request waits for one of these.
 */
final class ColdEndpoints {
    static final double PER_SECOND = 14;
    static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);
    static final Duration COLD_TIME = Duration.ofSeconds(3);

    private static final ServiceId SERVICE = new ServiceId("s");
    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** Time limit of connecting; the fleet's worst case uses all of it. */
    private static final int MAX_CONNECT_MILLIS = 400;

    private static final int MAX_WATCH_MILLIS = 300;
    private static final int MAX_ANSWER_MILLIS = 200;
    private static final Duration RETRY = Duration.ofMillis(50);

    final List<Long> mWaits = new ArrayList<>();
    int mGivenUp;
    private final ExchangeTestFleet mFleet;
    private final List<RegisteredEndpoint> mEndpoints = new ArrayList<>();
    private final Map<EndpointId, Instant> mColdUntil = new HashMap<>();
    private final Map<EndpointId, List<Instant>> mColdArrivals = new HashMap<>();
    private final Duration mMaxWait;

    ColdEndpoints(ExchangeTestFleet fleet, Duration maxWait) {
        mFleet = fleet;
        mMaxWait = maxWait;
    }

    static ExchangeTestFleet fleet(long seed, Optional<ColdBounds> bounds) {
        ColdTraits traits = new ColdTraits(COLD_TIME, PER_SECOND, ImmutableList.of());
        ForwardService service = new ForwardService(SERVICE, 99, Optional.empty(), traits);
        ForwardingConfig config =
                new ForwardingConfig(
                        1,
                        new RouteTable(ImmutableList.of()),
                        ImmutableMap.of(SERVICE, service),
                        new RequestLimits(1, 1, Duration.ZERO),
                        new KeyRing(false, ImmutableMap.of()));
        return new ExchangeTestFleet(seed, bounds, Optional.of(config));
    }

    /** Removes all endpoints, as an evacuation that ends their processes does. */
    void stop() {
        for (RegisteredEndpoint endpoint : mEndpoints) {
            mFleet.mMembers.forEach(
                    m ->
                            m.mProcess.schedule(
                                    Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_WATCH_MILLIS)),
                                    () ->
                                            m.mState
                                                    .endpoints()
                                                    .remove(endpoint.id(), mFleet.now())));
        }
        mEndpoints.clear();
    }

    /** Lets runs start, which are cold at once; members read their entries within 0.3 s. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            start("e" + i, Optional.of(COLD_TIME));
        }
    }

    RegisteredEndpoint start(String id, Optional<Duration> coldLeft) {
        RegisteredEndpoint endpoint =
                new RegisteredEndpoint(
                        new EndpointId(id),
                        mFleet.now().toEpochMilli(),
                        SERVICE,
                        new Address("10.9.0.1", 1),
                        new DataCentreId("z"),
                        8,
                        false,
                        coldLeft);
        mEndpoints.removeIf(e -> e.id().equals(endpoint.id()));
        mEndpoints.add(endpoint);
        turnCold(endpoint, coldLeft.orElse(COLD_TIME));
        mFleet.mMembers.forEach(m -> registerSoon(m, endpoint));
        return endpoint;
    }

    /** Lets an endpoint be cold from now on, of which its answers tell. */
    void turnCold(RegisteredEndpoint endpoint, Duration left) {
        mColdUntil.put(endpoint.id(), mFleet.now().plus(left));
    }

    private void registerSoon(Member member, RegisteredEndpoint endpoint) {
        member.mProcess.schedule(
                Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_WATCH_MILLIS)),
                () -> member.mState.endpoints().put(endpoint, mFleet.now()));
    }

    /** Makes the endpoints known to a member that starts late. */
    void registerAll(Member member) {
        mEndpoints.forEach(e -> registerSoon(member, e));
    }

    /** Has a member get requests after random intervals of the given mean. */
    void sendFrom(Member member, Duration meanInterval) {
        long nanos = (long) (mFleet.mRandom.nextDouble() * 2 * meanInterval.toNanos());
        member.mProcess.schedule(
                Duration.ofNanos(1 + nanos),
                () -> {
                    trySend(member, mFleet.now(), true);
                    sendFrom(member, meanInterval);
                });
    }

    /** Has a member ask for permits that it keeps. */
    void demand(Member member) {
        member.mTracker.recordStarved(SERVICE, ImmutableSet.of(), mFleet.now());
    }

    /** Has a member use all its permits. */
    void useAll(Member member) {
        Instant now = mFleet.now();
        ImmutableList<Candidate> held = member.mTracker.candidates(SERVICE, ImmutableSet.of(), now);
        while (!held.isEmpty()) {
            send(member, held.getFirst().endpoint(), now);
            held = member.mTracker.candidates(SERVICE, ImmutableSet.of(), now);
        }
    }

    private void trySend(Member member, Instant arrivedAt, boolean mayAsk) {
        Instant now = mFleet.now();
        ImmutableList<Candidate> candidates =
                member.mTracker.candidates(SERVICE, ImmutableSet.of(), now);
        Duration waited = Duration.between(arrivedAt, now);
        if (!candidates.isEmpty()) {
            mWaits.add(waited.toMillis());
            int chosen = mFleet.mRandom.nextInt(candidates.size());
            send(member, candidates.get(chosen).endpoint(), now);
        } else if (waited.compareTo(mMaxWait) >= 0) {
            mGivenUp++;
        } else {
            member.mTracker.recordStarved(SERVICE, ImmutableSet.of(), now);
            if (mayAsk) {
                member.mExchange
                        .requestPermits()
                        .subscribe()
                        .with(v -> retry(member, arrivedAt, Duration.ofMillis(1)));
            } else {
                retry(member, arrivedAt, RETRY);
            }
        }
    }

    private void retry(Member member, Instant arrivedAt, Duration delay) {
        member.mProcess.schedule(delay, () -> trySend(member, arrivedAt, false));
    }

    private void send(Member member, RegisteredEndpoint endpoint, Instant sentAt) {
        member.mTracker.recordSent(endpoint.id(), sentAt);
        member.mProcess.schedule(
                Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_CONNECT_MILLIS)),
                () -> arrive(member, endpoint, sentAt));
    }

    private void arrive(Member member, RegisteredEndpoint endpoint, Instant sentAt) {
        Duration left = Duration.between(mFleet.now(), mColdUntil.get(endpoint.id()));
        if (left.isPositive()) {
            mColdArrivals.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(mFleet.now());
        }
        Duration stated = left.isNegative() ? Duration.ZERO : left;
        member.mProcess.schedule(
                Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_ANSWER_MILLIS)),
                () -> member.mTracker.cold().onAnswer(endpoint.run(), stated, sentAt));
    }

    static int allowed() {
        return (int) (PER_SECOND * BOUNDS.excess() + BOUNDS.slack());
    }

    /** Returns the most requests that reached an endpoint while it was cold, in one second. */
    int mostInWindow(Instant since) {
        return mColdArrivals.values().stream().mapToInt(a -> most(a, since)).max().orElse(0);
    }

    private static int most(List<Instant> arrivals, Instant since) {
        List<Instant> times = arrivals.stream().filter(t -> !t.isBefore(since)).sorted().toList();
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (!times.get(first).plus(WINDOW).isAfter(times.get(i))) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    /** Returns the requests that reached cold endpoints. */
    long coldArrivals() {
        return mColdArrivals.values().stream().mapToLong(List::size).sum();
    }

    /** Returns the given quantile of the time that requests waited for a permit. */
    long wait(double quantile) {
        List<Long> sorted = mWaits.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }
}
