package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fleets on virtual time into whose burst 15 of 45 endpoints come back cold, while the other 30 are
 * full. Each test guards against a second in which more requests reach a cold endpoint than it
 * tolerates.
 */
final class ColdFleetTest {
    private static final int RETURNED = 15;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

    /** Requests a second of the burst, some three times what 15 cold endpoints tolerate. */
    private static final double BURST = 600;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration MAX_WAIT = Duration.ofMillis(500);

    private final ExchangeTestFleet mFleet =
            ColdEndpoints.fleet(5, Optional.of(ColdEndpoints.BOUNDS));
    private final ColdEndpoints mEndpoints = new ColdEndpoints(mFleet, MAX_WAIT);

    private void settle(int members) {
        mFleet.add(members);
        mFleet.mTime.advance(SETTLE_TIME);
    }

    private void sendAll(double perSecond) {
        Duration mean =
                Duration.ofNanos((long) (NANOS_PER_SECOND * mFleet.mMembers.size() / perSecond));
        mFleet.mMembers.forEach(m -> mEndpoints.sendFrom(m, mean));
    }

    private void pass(long millis) {
        mFleet.mTime.advance(Duration.ofMillis(millis));
    }

    /** Has the endpoints evacuated, and come back once all that was under way has arrived. */
    private void returnCold() {
        mEndpoints.stop();
        pass(1_000);
        mEndpoints.start(RETURNED);
    }

    private void checkBound() {
        assertThat(mEndpoints.mostInWindow(Instant.MIN))
                .isLessThanOrEqualTo(ColdEndpoints.allowed());
    }

    private Member aggregator() {
        Member any =
                mFleet.mMembers.stream()
                        .max(Comparator.comparing(m -> m.identity().incarnation().value()))
                        .orElseThrow();
        return mFleet.member(any.mFleet.aggregator(mFleet.now()).address());
    }

    /** Half of the granted rate is the least that counts as use, under a burst of 600 a second. */
    @ParameterizedTest
    @CsvSource({"4, 600", "36, 600", "134, 600", "410, 600", "36, 100", "134, 100", "410, 100"})
    void returnedEndpointsGetNoMoreThanTheBound(int members, double perSecond) {
        settle(members);
        sendAll(perSecond);
        int rounds = 4;
        for (int i = 0; i < rounds; i++) {
            returnCold();
            pass(ColdEndpoints.COLD_TIME.toMillis());
        }
        checkBound();
        double seconds = (double) rounds * RETURNED * ColdEndpoints.COLD_TIME.toSeconds();
        double used = mEndpoints.coldArrivals() / seconds;
        System.out.printf(
                "%d members, %.0f requests a second: %.1f of %.0f a second used at each,"
                        + " most %d of %d in a second, wait %d ms, p90 %d ms%n",
                members,
                perSecond,
                used,
                ColdEndpoints.PER_SECOND,
                mEndpoints.mostInWindow(Instant.MIN),
                ColdEndpoints.allowed(),
                mEndpoints.wait(0.5),
                mEndpoints.wait(0.9));
        if (perSecond >= BURST) {
            assertThat(used)
                    .isGreaterThan(ColdEndpoints.BOUNDS.grantRate(ColdEndpoints.PER_SECOND) / 2);
        }
    }

    /** Permits that are held until their last moment must not add up over the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {4, 36, 410})
    void permitsThatAllUseAtTheLastMomentStayWithinTheBound(int members) {
        settle(members);
        mEndpoints.start(1);
        for (int i = 0; i < 300; i++) {
            pass(10);
            mFleet.mMembers.forEach(mEndpoints::demand);
            if (i % 95 == 94) {
                mFleet.mMembers.forEach(mEndpoints::useAll);
            }
        }
        pass(1_000);
        assertThat(mEndpoints.coldArrivals()).isPositive();
        checkBound();
    }

    @ParameterizedTest
    @CsvSource({"4, true", "36, true", "36, false", "134, true", "410, true"})
    void lossOfTheAggregatorKeepsTheBound(int members, boolean killed) {
        settle(members);
        sendAll(BURST);
        for (int i = 0; i < 3; i++) {
            returnCold();
            pass(1_000);
            Member aggregator = aggregator();
            if (killed) {
                mEndpoints.registerAll(mFleet.restart(aggregator.mNumber));
            } else {
                aggregator.mProcess.pause(Duration.ofSeconds(2));
            }
            pass(2_000);
        }
        checkBound();
    }

    @ParameterizedTest
    @CsvSource({"4, 2", "36, 2", "36, 4", "36, 36", "410, 2"})
    void partsThatCannotReachEachOtherKeepTheBound(int members, int parts) {
        settle(members);
        sendAll(BURST);
        int size = (members + parts - 1) / parts;
        for (int from = 0; from < members; from += size) {
            int to = Math.min(members, from + size);
            mFleet.cut(
                    mFleet.mMembers.subList(from, to),
                    ImmutableList.<Member>builder()
                            .addAll(mFleet.mMembers.subList(0, from))
                            .addAll(mFleet.mMembers.subList(to, members))
                            .build());
        }
        for (int i = 0; i < 4; i++) {
            returnCold();
            pass(ColdEndpoints.COLD_TIME.toMillis());
        }
        mFleet.mNetwork.heal();
        returnCold();
        pass(ColdEndpoints.COLD_TIME.toMillis());
        checkBound();
    }

    /** Until an answer has told, nobody can know; all are told through the aggregator. */
    @ParameterizedTest
    @ValueSource(ints = {4, 36, 134})
    void endpointThatTurnsColdWithoutNoticeIsLimitedOnceItsAnswersTell(int members) {
        settle(members);
        RegisteredEndpoint endpoint = mEndpoints.start("e", Optional.of(Duration.ZERO));
        sendAll(100);
        pass(3_000);
        mEndpoints.turnCold(endpoint, Duration.ofSeconds(12));
        Instant turned = mFleet.now();
        pass(12_000);
        assertThat(mEndpoints.coldArrivals()).isPositive();
        assertThat(mEndpoints.mostInWindow(turned.plusSeconds(2)))
                .isLessThanOrEqualTo(ColdEndpoints.allowed());
    }

    /**
     * An entry that doesn't say whether the endpoint is cold, as from a peer of another version.
     */
    @Test
    void ageLimitsEndpointsWhoseEntriesDoNotSay() {
        settle(36);
        sendAll(BURST);
        mEndpoints.start("e", Optional.empty());
        pass(ColdEndpoints.COLD_TIME.toMillis());
        checkBound();
        long cold = mEndpoints.mWaits.size();
        pass(1_000);
        assertThat(mEndpoints.mWaits.size() - cold).isGreaterThan(300);
    }

    /** The limit must not change deployments that don't bound the requests to cold endpoints. */
    @Test
    void coldEndpointsAreNotLimitedWithoutTheBound() {
        ExchangeTestFleet fleet = ColdEndpoints.fleet(5, Optional.empty());
        ColdEndpoints endpoints = new ColdEndpoints(fleet, MAX_WAIT);
        fleet.add(4).forEach(m -> endpoints.sendFrom(m, Duration.ofMillis(10)));
        endpoints.start("e", Optional.of(ColdEndpoints.COLD_TIME));
        fleet.mTime.advance(ColdEndpoints.COLD_TIME);
        assertThat(endpoints.mostInWindow(Instant.MIN)).isGreaterThan(300);
        assertThat(fleet.mMembers).allMatch(m -> m.mTracker.rateLimits().isEmpty());
    }
}
