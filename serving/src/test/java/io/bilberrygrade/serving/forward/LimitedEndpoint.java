package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.ratelimit.RateLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Endpoint that states a rate limit in its answers, and the members of an emulated fleet that send
 * to it whenever they consider it eligible.
 */
final class LimitedEndpoint {
    static final ServiceId SERVICE = new ServiceId("s");

    /** Window over which the rule counts requests. */
    static final Duration WINDOW = Duration.ofSeconds(4);

    /** Factor and allowance, in requests, of the rule over the stated limit. */
    private static final double RULE_FACTOR = 1.5;

    private static final double RULE_ALLOWANCE = 5;

    /** Time after it relayed a limit from which a member's requests count. */
    private static final Duration NOTICE = Duration.ofMillis(500);

    private static final int MAX_HOP_MILLIS = 5;
    private static final int MAX_ANSWER_MILLIS = 300;

    private final ExchangeTestFleet mFleet;
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final Map<ExchangeTestFleet.Member, Instant> mToldAt = new HashMap<>();
    private final EndpointId mId;
    private RegisteredEndpoint mEndpoint;
    private Optional<RateLimit> mStated;

    LimitedEndpoint(ExchangeTestFleet fleet, double perSecond) {
        this(fleet, "limited", perSecond);
    }

    LimitedEndpoint(ExchangeTestFleet fleet, String id, double perSecond) {
        mFleet = fleet;
        mId = new EndpointId(id);
        mEndpoint = endpoint(1);
        mStated = Optional.of(new RateLimit(perSecond));
    }

    private RegisteredEndpoint endpoint(long startedAtMillis) {
        return new RegisteredEndpoint(
                mId,
                startedAtMillis,
                SERVICE,
                new Address("10.9.0.1", 1),
                new DataCentreId("z"),
                8,
                false);
    }

    EndpointRun run() {
        return mEndpoint.run();
    }

    /** Changes the limit that further answers state; empty for none. */
    void state(Optional<RateLimit> limit) {
        mStated = limit;
    }

    /** Replaces the endpoint by its next run, which states no limit yet. */
    void restart() {
        mEndpoint = endpoint(mEndpoint.startedAtMillis() + 1);
        mStated = Optional.empty();
        mFleet.mMembers.forEach(this::register);
    }

    /** Makes the endpoint known to a member. */
    void register(ExchangeTestFleet.Member member) {
        member.mState.endpoints().put(mEndpoint, mFleet.now());
    }

    /** Has each member try to send after random intervals of the given mean. */
    void sendFrom(ExchangeTestFleet.Member member, Duration meanInterval) {
        register(member);
        scheduleNext(member, meanInterval);
    }

    private void scheduleNext(ExchangeTestFleet.Member member, Duration meanInterval) {
        long millis = (long) (mFleet.mRandom.nextDouble() * 2 * meanInterval.toMillis());
        member.mProcess.schedule(
                Duration.ofMillis(1 + millis),
                () -> {
                    trySend(member);
                    scheduleNext(member, meanInterval);
                });
    }

    /** Sends one request unless the member considers the endpoint ineligible. */
    void trySend(ExchangeTestFleet.Member member) {
        Instant sentAt = mFleet.now();
        RegisteredEndpoint target = mEndpoint;
        boolean eligible =
                member.mTracker.candidates(SERVICE, ImmutableSet.of(), sentAt).stream()
                        .anyMatch(c -> c.endpoint().equals(target));
        if (eligible) {
            member.mTracker.recordSent(target.id(), sentAt);
            Duration hop = Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_HOP_MILLIS));
            member.mProcess.schedule(hop, () -> arrive(member, target, sentAt));
        }
    }

    private void arrive(
            ExchangeTestFleet.Member member, RegisteredEndpoint target, Instant sentAt) {
        mArrivals.add(new Arrival(mFleet.now(), toldBefore(member)));
        Optional<RateLimit> stated = mStated;
        Duration time = Duration.ofMillis(1 + mFleet.mRandom.nextInt(MAX_ANSWER_MILLIS));
        member.mProcess.schedule(
                time,
                () -> {
                    member.mTracker.recordRateLimit(target.run(), stated, sentAt, mFleet.now());
                    stated.ifPresent(l -> mToldAt.putIfAbsent(member, mFleet.now()));
                });
    }

    private boolean toldBefore(ExchangeTestFleet.Member member) {
        Instant toldAt = mToldAt.get(member);
        return toldAt != null && !toldAt.plus(NOTICE).isAfter(mFleet.now());
    }

    /** Returns what the rule allows in one window under a limit. */
    static double allowed(double perSecond) {
        return RULE_FACTOR * perSecond * WINDOW.toSeconds() + RULE_ALLOWANCE;
    }

    /** Returns the most requests in one window since a time, from members that had been told. */
    int mostInWindowFromToldMembers(Instant since) {
        return mostInWindow(mArrivals.stream().filter(Arrival::told), since);
    }

    /** Returns the most requests in one window since a time, from all members. */
    int mostInWindow(Instant since) {
        return mostInWindow(mArrivals.stream(), since);
    }

    private static int mostInWindow(Stream<Arrival> arrivals, Instant since) {
        List<Instant> times =
                arrivals.map(Arrival::at).filter(t -> !t.isBefore(since)).sorted().toList();
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

    /** Returns the number of requests since a time. */
    long arrivals(Instant since) {
        return mArrivals.stream().filter(a -> !a.at().isBefore(since)).count();
    }

    private record Arrival(Instant at, boolean told) {}
}
