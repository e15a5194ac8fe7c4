package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.SumsOnDemand;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import io.bilberrygrade.serving.room.RecentSumsFilter;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The load: requests that arrive at many daemons within one interval of their exchange. */
final class RecentSumsFleetTest {
    private static final Duration GOAL = Duration.ofMillis(313);
    private static final Duration MAX_DELAY = Duration.ofMillis(3);
    private static final EndpointWork ONE_CALL = new EndpointWork(1, 0, 0, 1, 0);
    private static final ImmutableList<EndpointId> ENGINES =
            IntStream.range(0, 8)
                    .mapToObj(i -> new EndpointId("e" + i))
                    .collect(ImmutableList.toImmutableList());

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(11);
    private final List<FilterChain<Duration>> mChains = new ArrayList<>();
    private final List<RecentSumsFilter<Duration>> mFilters = new ArrayList<>();
    private final List<Instant> mPlacedAt = new ArrayList<>();

    private void start(int members, FleetTraits traits) {
        mFleet.add(members).forEach(m -> addChain(m, traits));
        mFleet.mTime.advance(Duration.ofSeconds(8));
        mFleet.mNetwork.delayUpTo(MAX_DELAY);
    }

    private void addChain(Member member, FleetTraits traits) {
        RecentSumsFilter<Duration> filter =
                new RecentSumsFilter<>(
                        Optional::of,
                        () -> traits,
                        () -> member.mFleet.size(mFleet.now()),
                        () -> member.mExchange,
                        member.mProcess,
                        member.mProcess);
        RequestFilter<Duration> placement =
                (goal, next) ->
                        Uni.createFrom()
                                .item(
                                        () -> {
                                            place(member);
                                            return new Outcome.Done(0);
                                        });
        mFilters.add(filter);
        mChains.add(new FilterChain<>(ImmutableList.of(filter, placement)));
    }

    private void place(Member member) {
        EndpointId least =
                ENGINES.stream()
                        .min(
                                Comparator.comparingInt(
                                        e -> member.mLedger.of(e, mFleet.now()).calls()))
                        .orElseThrow();
        member.mLedger.add(least, ONE_CALL);
        mPlacedAt.add(mFleet.now());
    }

    private void request(int member) {
        mChains.get(member).proceed(GOAL).subscribe().with(o -> {});
    }

    private int largestLoad() {
        return ENGINES.stream()
                .mapToInt(e -> mFleet.mMembers.stream().mapToInt(m -> calls(m, e)).sum())
                .max()
                .orElseThrow();
    }

    private static int calls(Member member, EndpointId engine) {
        return member.mLedger.ownWork().getOrDefault(engine, EndpointWork.NONE).calls();
    }

    /** Sends 64 requests, each to another daemon, 6 ms apart. */
    private void sendBurst() {
        for (int i = 0; i < 64; i++) {
            request(10 + i);
            mFleet.mTime.advance(Duration.ofMillis(6));
        }
        mFleet.mTime.advance(Duration.ofMillis(100));
    }

    // Guards against daemons that all fill the engine that was free some hundred ms before.
    @ParameterizedTest
    @CsvSource({"true,8,12", "false,20,64"})
    void requestsOfOneIntervalSpreadOverTheEngines(boolean uneven, int min, int max) {
        start(134, new FleetTraits(false, uneven));
        sendBurst();
        assertThat(mPlacedAt).hasSize(64);
        assertThat(largestLoad()).isBetween(min, max);
    }

    // Guards against requests that wait for an aggregator that doesn't answer.
    @Test
    void requestIsPlacedBySumsAtHandIfTheAggregatorIsFrozen() {
        start(134, new FleetTraits(false, true));
        Member aggregator =
                mFleet.member(mFleet.mMembers.get(50).mFleet.aggregator(mFleet.now()).address());
        aggregator.mProcess.pause(Duration.ofSeconds(5));
        Instant sentAt = mFleet.now();
        request(50);
        mFleet.mTime.advance(SumsOnDemand.maxWait(GOAL).plusMillis(5));
        assertThat(mPlacedAt).hasSize(1);
        assertThat(Duration.between(sentAt, mPlacedAt.getFirst()))
                .isLessThanOrEqualTo(SumsOnDemand.maxWait(GOAL).plusMillis(2));
        assertThat(mFilters.get(50).lateAnswers()).isEqualTo(1);
    }

    // Guards against calls for each request of a burst at one daemon.
    @Test
    void requestsAtOneDaemonShareTheCall() {
        start(134, new FleetTraits(false, true));
        for (int i = 0; i < 20; i++) {
            request(50);
        }
        mFleet.mTime.advance(Duration.ofMillis(50));
        assertThat(mPlacedAt).hasSize(20);
        assertThat(mFilters.get(50).calls()).isEqualTo(1);
    }

    // Guards against an aggregator that is overloaded by calls of daemons with much traffic.
    @ParameterizedTest
    @CsvSource({"134", "410"})
    void callsToTheAggregatorStayBounded(int members) {
        start(members, new FleetTraits(false, true));
        mFleet.mMembers.forEach(m -> m.mHandled = 0);
        int seconds = 3;
        for (int i = 0; i < seconds * 20; i++) {
            IntStream.range(0, members).forEach(this::request);
            mFleet.mTime.advance(Duration.ofMillis(50));
        }
        long burst = (long) (members * SumsOnDemand.MAX_BURST);
        assertThat(mFleet.mMembers)
                .allMatch(
                        m ->
                                m.mHandled
                                        < seconds
                                                        * (340
                                                                + 3 * members
                                                                + SumsOnDemand.MAX_CALLS_PER_SECOND)
                                                + burst);
    }
}
