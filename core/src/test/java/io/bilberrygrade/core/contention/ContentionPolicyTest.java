package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ContentionPolicyTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final Duration SPAN = Duration.ofSeconds(30);
    private static final double NO_FLOOR = 0.999;

    private static double burst(double second) {
        return second >= 10 && second < 20 ? 200 : 60;
    }

    private static SharedEngines engines(long seed, boolean admitsAll) {
        SharedEngines engines = new SharedEngines(seed, admitsAll);
        engines.run(SPAN, ContentionPolicyTest::burst);
        return engines;
    }

    // Guards against refusals of requests that are served in time anyway.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void refusesNothingWhileSlotsSuffice(long seed) {
        SharedEngines engines = new SharedEngines(seed, false);
        engines.run(SPAN, t -> 60);
        assertThat(engines.refusals()).isZero();
    }

    // Guards against a burst of low ranks that makes the highest rank late, whose own load fits.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void highestRankIsInTimeInBurst(long seed) {
        assertThat(engines(seed, false).inTime(r -> r.rank().equals(Rank.HIGHEST)))
                .isGreaterThan(0.95);
    }

    // Guards against a policy that serves fewer in time than admitting all, as before.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servesMoreInTimeThanAdmittingAll(long seed) {
        assertThat(engines(seed, false).inTime()).isGreaterThan(engines(seed, true).inTime());
    }

    private static Predicate<ServiceRequest> ofTeam(String team) {
        return r -> r.team().equals(Optional.of(new TeamId(team)));
    }

    private static void assertFloors(SharedEngines engines) {
        double all = engines.served(r -> true);
        for (String team : new String[] {"a", "b", "c", "d"}) {
            assertThat(engines.served(ofTeam(team))).as(team).isGreaterThan(all / 4);
        }
        assertThat(engines.served(r -> r.length() >= 4_000)).isGreaterThan(all / 2);
    }

    // Guards against a team or a class of length that a burst shuts out; floors as stated.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void floorsHoldUnderLastingOverload(long seed) {
        SharedEngines engines = new SharedEngines(seed, false);
        engines.run(Duration.ofSeconds(60), t -> 200);
        assertFloors(engines);
    }

    // Guards against a team that takes up what another of its rank would use: b sends seven times
    // as much as c, whose part is under the level at which both are equal.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void smallTeamIsServedBesideLargeOne(long seed) {
        SharedEngines engines = new SharedEngines(seed, false, 0, 1, 1, 1, 1, 1, 1, 1, 2, 3);
        engines.run(Duration.ofSeconds(60), t -> 200);
        assertThat(engines.served(ofTeam("c"))).isGreaterThan(1.5 * engines.served(ofTeam("b")));
        assertThat(engines.served(ofTeam("b"))).isGreaterThan(0.25);
        assertFloors(engines);
    }

    // Guards against decisions that flap while the load swings about the capacity.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void swingChangesStateTwiceInPeriodAtMost(long seed) {
        SharedEngines engines = new SharedEngines(seed, false);
        engines.run(Duration.ofSeconds(60), t -> 100 * (1 + Math.sin(2 * Math.PI * t / 10)));
        int instancesAndRanks = 12 * 3;
        int periods = 6;
        assertThat(engines.stateChanges()).isLessThanOrEqualTo(2 * periods * instancesAndRanks);
    }

    private static ServiceRequest request(int rank, long goalMillis, long leftMillis) {
        return new ServiceRequest(
                new Rank(rank),
                "k",
                Optional.empty(),
                100,
                50,
                1_000,
                Duration.ofMillis(goalMillis),
                Duration.ofMillis(leftMillis));
    }

    private static ServiceLoad load(int calls, long ageMillis) {
        return new ServiceLoad(100, calls, 0, 1_000_000, 0, Duration.ofMillis(ageMillis), 10);
    }

    /** Returns a policy that has many requests of rank 1 in flight. */
    private static ContentionPolicy busyPolicy() {
        ContentionPolicy policy = new ContentionPolicy();
        for (int i = 0; i < 99; i++) {
            policy.decide(request(1, 4_000, 9_000), load(0, 0), () -> 1, NO_FLOOR, NOW);
        }
        return policy;
    }

    // Guards against a wait that counts lower ranks, work that has ended since the sums were sent,
    // or a late request that is refused although it makes no other late.
    @ParameterizedTest
    @CsvSource({
        "0, 400, 9000, 199, 0, IN_TIME",
        "1, 1100, 9000, 199, 0, IN_TIME",
        "1, 900, 9000, 199, 0, LATE_IN_FREE_TIME",
        "1, 4000, 900, 199, 0, PAST_DEADLINE",
        "1, 4000, 900, 199, 300, IN_TIME",
        "1, 4000, 9000, 249, 0, IN_TIME",
        "1, 4000, 9000, 699, 0, MAKES_OTHERS_LATE",
        "1, 9000, 9000, 999, 0, TOO_COSTLY"
    })
    void decidesByPredictedTime(
            int rank, long goal, long left, int calls, long age, AdmissionCause cause) {
        assertThat(
                        busyPolicy()
                                .decide(
                                        request(rank, goal, left),
                                        load(calls, age),
                                        () -> 1,
                                        NO_FLOOR,
                                        NOW)
                                .cause())
                .isEqualTo(cause);
    }

    // Guards against a high rank that is refused for prompts of low ranks, which are read later.
    @Test
    void promptsOfLowerRanksAreReadLater() {
        ServiceLoad reading = new ServiceLoad(100, 50, 1_000, 1_000_000, 0, Duration.ZERO, 10);
        ContentionPolicy policy = busyPolicy();
        assertThat(policy.decide(request(0, 400, 9_000), reading, () -> 1, NO_FLOOR, NOW).cause())
                .isEqualTo(AdmissionCause.IN_TIME);
        assertThat(policy.decide(request(1, 400, 9_000), reading, () -> 1, NO_FLOOR, NOW).cause())
                .isEqualTo(AdmissionCause.LATE_IN_FREE_TIME);
    }

    // Guards against a plain service whose low ranks are refused for a queue that isn't bounded.
    @Test
    void queueOfPlainServiceIsNotKept() {
        ContentionPolicy policy = busyPolicy();
        policy.decide(request(0, 400, 9_000), load(0, 0), () -> 1, NO_FLOOR, NOW);
        ServiceLoad plain = new ServiceLoad(100, 300, 0, 0, 0, Duration.ZERO, 10);
        assertThat(policy.decide(request(1, 4_000, 9_000), plain, () -> 1, NO_FLOOR, NOW).cause())
                .isEqualTo(AdmissionCause.IN_TIME);
    }

    // Guards against low ranks that fill the engines' queues, so that engines refuse a high one.
    @Test
    void queueIsKeptForHigherRanks() {
        ContentionPolicy policy = busyPolicy();
        policy.decide(request(0, 400, 9_000), load(0, 0), () -> 1, NO_FLOOR, NOW);
        ServiceLoad half = load(255, 0);
        assertThat(policy.decide(request(1, 4_000, 9_000), half, () -> 1, NO_FLOOR, NOW).cause())
                .isEqualTo(AdmissionCause.QUEUE_FOR_HIGHER_RANKS);
        assertThat(policy.decide(request(0, 400, 9_000), half, () -> 1, NO_FLOOR, NOW).cause())
                .isEqualTo(AdmissionCause.IN_TIME);
    }

    // Guards against a refusal on a guess: neither the load nor the times are known at first.
    @Test
    void admitsWhatItKnowsNothingOf() {
        assertThat(
                        new ContentionPolicy()
                                .decide(
                                        request(0, 1, 60),
                                        load(100_000, 0),
                                        () -> 1,
                                        NO_FLOOR,
                                        NOW))
                .isInstanceOf(AdmissionDecision.Admit.class);
    }

    // Guards against a caller that gains by returning early, and one that returns in its time and
    // is refused again while its rank is crowded.
    @Test
    void returnInTimeIsAdmittedAndAnEarlyOneGainsNothing() {
        ContentionPolicy policy = busyPolicy();
        ServiceRequest request = request(1, 4_000, 30_000);
        ServiceLoad full = load(999, 0);
        AdmissionDecision.Refuse refused =
                (AdmissionDecision.Refuse) policy.decide(request, full, () -> 7, NO_FLOOR, NOW);
        assertThat(refused.promised()).isTrue();
        Instant early = NOW.plusMillis(5);
        assertThat(policy.decide(request, full, () -> 7, 0, early))
                .isEqualTo(
                        new AdmissionDecision.Refuse(
                                refused.retryAfter().minusMillis(5),
                                true,
                                refused.cause(),
                                refused.prediction()));
        Instant due = NOW.plus(refused.retryAfter());
        ServiceLoad freeing = load(495, 300);
        assertThat(policy.decide(request, freeing, () -> 8, NO_FLOOR, due).cause())
                .isEqualTo(AdmissionCause.MAKES_OTHERS_LATE);
        assertThat(policy.decide(request, freeing, () -> 7, NO_FLOOR, due).cause())
                .isEqualTo(AdmissionCause.RETURNED);
        assertThat(policy.promises()).isEqualTo(1);
    }

    // Guards against a promise that is kept although the request and others would be late by it:
    // that made fewer be in time than if no caller returned.
    @Test
    void returnThatWouldBeLateIsRefusedAgain() {
        ContentionPolicy policy = busyPolicy();
        ServiceRequest request = request(1, 4_000, 60_000);
        ServiceLoad full = load(999, 0);
        AdmissionDecision.Refuse first =
                (AdmissionDecision.Refuse) policy.decide(request, full, () -> 7, NO_FLOOR, NOW);
        AdmissionDecision.Refuse second =
                (AdmissionDecision.Refuse)
                        policy.decide(
                                request, full, () -> 7, NO_FLOOR, NOW.plus(first.retryAfter()));
        assertThat(second.cause()).isEqualTo(AdmissionCause.MAKES_OTHERS_LATE);
        assertThat(second.retryAfter()).isLessThanOrEqualTo(first.retryAfter());
    }

    // Guards against times that are no better than the constant delay before: callers that return
    // together are refused again.
    @ParameterizedTest
    @CsvSource({
        "1,SAME_INSTANCE", "2,SAME_INSTANCE", "3,SAME_INSTANCE", "4,SAME_INSTANCE",
        "1,ANY_INSTANCE", "2,ANY_INSTANCE", "3,ANY_INSTANCE", "4,ANY_INSTANCE"
    })
    void scheduledReturnsServeMoreInTimeThanConstantDelay(
            long seed, SharedEngines.Returns returns) {
        SharedEngines scheduled = shortBurst(seed, returns);
        SharedEngines constant = shortBurst(seed, SharedEngines.Returns.CONSTANT_DELAY);
        SharedEngines never = shortBurst(seed, SharedEngines.Returns.NEVER);
        assertThat(scheduled.inTime())
                .isGreaterThan(constant.inTime())
                .isGreaterThan(never.inTime());
        assertThat(scheduled.returnedInTime()).isGreaterThan(constant.returnedInTime());
    }

    private static SharedEngines shortBurst(long seed, SharedEngines.Returns returns) {
        SharedEngines engines = new SharedEngines(seed, false);
        engines.setReturns(returns);
        engines.run(SPAN, t -> t >= 10 && t < 14 ? 250 : 60);
        return engines;
    }
}
