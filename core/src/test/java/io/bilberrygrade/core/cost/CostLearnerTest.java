package io.bilberrygrade.core.cost;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.cost.CostLearner.Subject;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against predictions that follow load too late, or follow a fault of an endpoint. */
final class CostLearnerTest {
    private static final CostKey PLAIN = CostKey.plain("search");
    private static final CostKey STREAM = CostKey.stream("question", new PromptShape(5_000, 200));
    private static final double PUBLISHED_MILLIS = 20;
    private static final int ENDPOINTS = 45;
    private static final Duration ARRIVAL_GAP = Duration.ofMillis(200);

    private final CostLearner mLearner = new CostLearner();
    private final Random mRandom = new Random(7);
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private int mNextEndpoint;

    /** Records responses on all endpoints in turn; one may be slower than the others. */
    private void serve(CostKey key, double publishedMillis, double millis, int count) {
        serve(key, publishedMillis, millis, count, -1, 1);
    }

    private void serve(
            CostKey key, double publishedMillis, double millis, int count, int slow, double by) {
        for (int i = 0; i < count; i++) {
            int endpoint = mNextEndpoint++ % ENDPOINTS;
            double factor = endpoint == slow ? by : 1;
            record(run(endpoint), key, publishedMillis, spread(millis) * factor, true);
        }
    }

    private Subject record(
            EndpointRun run, CostKey key, double publishedMillis, double millis, boolean sound) {
        mNow = mNow.plus(ARRIVAL_GAP);
        return mLearner.recordTime(attempt(run, key, publishedMillis, 0), sound, millis, mNow);
    }

    private AttemptCost attempt(
            EndpointRun run, CostKey key, double publishedMillis, int otherCalls) {
        RegisteredEndpoint endpoint =
                new RegisteredEndpoint(
                        run.id(),
                        run.startedAtMillis(),
                        new ServiceId("s"),
                        new Address("10.0.0.1", 1),
                        new DataCentreId("z"),
                        8,
                        false);
        return new AttemptCost(
                mLearner.predict(key, publishedMillis, run, mNow),
                endpoint,
                new EndpointWork(otherCalls, 0, 0, 0, 0),
                0,
                false);
    }

    private double spread(double millis) {
        return millis * Math.exp(0.2 * mRandom.nextGaussian());
    }

    private static EndpointRun run(int number) {
        return new EndpointRun(new EndpointId("e" + number), 1);
    }

    private double predicted(CostKey key, double publishedMillis) {
        return mLearner.predict(key, publishedMillis, run(0), mNow).ownMillis();
    }

    @Test
    void publishedFiguresAreTrustedUntilThereAreEnoughSamples() {
        serve(STREAM, PUBLISHED_MILLIS, 80, CostEstimate.MIN_SAMPLES - 1);
        assertThat(predicted(STREAM, PUBLISHED_MILLIS)).isEqualTo(PUBLISHED_MILLIS);
        serve(STREAM, PUBLISHED_MILLIS, 80, 1);
        assertThat(predicted(STREAM, PUBLISHED_MILLIS))
                .isCloseTo(80, Percentage.withPercentage(25));
    }

    @Test
    void unseenKeyIsPredictedByPublishedFiguresOnly() {
        serve(STREAM, PUBLISHED_MILLIS, 80, 100);
        CostKey longer = CostKey.stream("question", new PromptShape(200_000, 200));
        assertThat(predicted(longer, 2_500)).isEqualTo(2_500);
        assertThat(mLearner.predict(CostKey.plain("new"), 1, run(0), mNow).isKnown()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.25, 0.5, 2, 4})
    void costJumpIsFollowed(double factor) {
        serve(PLAIN, 1, 50, 200);
        serve(PLAIN, 1, 50 * factor, 100);
        assertThat(predicted(PLAIN, 1)).isCloseTo(50 * factor, Percentage.withPercentage(25));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1e-9, 1e9, 0, -1, Double.NaN, Double.POSITIVE_INFINITY})
    void singlePoisonedSampleChangesLittle(double millis) {
        serve(PLAIN, 1, 50, 200);
        double before = predicted(PLAIN, 1);
        record(run(3), PLAIN, 1, millis, true);
        assertThat(predicted(PLAIN, 1)).isCloseTo(before, Percentage.withPercentage(10));
        assertThat(mLearner.speeds().of(run(3))).isBetween(1 / 1.2, 1.2);
    }

    @Test
    void poisonedSampleAmongTheFirstChangesLittle() {
        record(run(0), PLAIN, 1, 1e9, true);
        serve(PLAIN, 1, 50, CostEstimate.MIN_SAMPLES);
        assertThat(predicted(PLAIN, 1)).isCloseTo(50, Percentage.withPercentage(25));
    }

    @Test
    void slowEndpointTeachesItsSpeedAndNotTheCost() {
        serve(PLAIN, 1, 50, 20 * ENDPOINTS);
        serve(PLAIN, 1, 50, 20 * ENDPOINTS, 7, 6);
        assertThat(mLearner.speeds().isSlow(run(7))).isTrue();
        assertThat(mLearner.speeds().of(run(8))).isBetween(0.8, 1.25);
        assertThat(predicted(PLAIN, 1)).isCloseTo(50, Percentage.withPercentage(15));
        assertThat(record(run(7), PLAIN, 1, 300, true)).isEqualTo(Subject.ENDPOINT);
        serve(PLAIN, 1, 50, 20 * ENDPOINTS);
        assertThat(mLearner.speeds().isSlow(run(7))).isFalse();
    }

    @Test
    void costJumpIsNotTakenForSlowEndpoints() {
        serve(PLAIN, 1, 50, 20 * ENDPOINTS);
        serve(PLAIN, 1, 200, 2 * ENDPOINTS);
        for (int i = 0; i < ENDPOINTS; i++) {
            assertThat(mLearner.speeds().isSlow(run(i))).isFalse();
        }
    }

    @Test
    void unsoundEndpointsTeachNothingAboutTheCost() {
        serve(PLAIN, 1, 50, 50);
        double before = predicted(PLAIN, 1);
        for (int i = 0; i < 50; i++) {
            assertThat(record(run(i % ENDPOINTS), PLAIN, 1, 500, false))
                    .isEqualTo(Subject.ENDPOINT);
        }
        assertThat(predicted(PLAIN, 1)).isEqualTo(before);
    }

    @Test
    void silencesMakeAnEndpointSlowOnly() {
        serve(PLAIN, 1, 50, 200);
        AttemptCost attempt = attempt(run(3), PLAIN, 1, 0);
        assertThat(mLearner.recordSilence(attempt, 10, mNow)).isEqualTo(Subject.NONE);
        for (int i = 0; i < 10; i++) {
            assertThat(mLearner.recordSilence(attempt, 2_000, mNow)).isEqualTo(Subject.ENDPOINT);
        }
        assertThat(mLearner.speeds().isSlow(run(3))).isTrue();
        assertThat(predicted(PLAIN, 1)).isCloseTo(50, Percentage.withPercentage(15));
    }

    /** Small differences are of waits that aren't known rather than of published figures. */
    @Test
    void reportedWorkFollowsThePublishedFiguresUnlessTheyAreFarOff() {
        serve(STREAM, PUBLISHED_MILLIS, 24, 100);
        assertThat(attempt(run(0), STREAM, PUBLISHED_MILLIS, 0).prefillFactor()).isEqualTo(1);
        serve(STREAM, PUBLISHED_MILLIS, 80, 200);
        AttemptCost attempt = attempt(run(0), STREAM, PUBLISHED_MILLIS, 0);
        assertThat(attempt.prefillFactor()).isCloseTo(4, Percentage.withPercentage(25));
        AttemptCost split =
                new AttemptCost(attempt.prediction(), attempt.endpoint(), attempt.known(), 0, true);
        assertThat(split.prefillFactor()).isEqualTo(1);
    }

    /** Of two requests for each slot, each takes twice its time. */
    @Test
    void waitForSlotsIsNotTakenForCost() {
        for (int i = 0; i < 100; i++) {
            mLearner.recordTime(attempt(run(i % ENDPOINTS), PLAIN, 1, 15), true, 100, mNow);
        }
        assertThat(predicted(PLAIN, 1)).isCloseTo(50, Percentage.withPercentage(1));
        AttemptCost queued = attempt(run(0), STREAM, PUBLISHED_MILLIS, 8);
        assertThat(mLearner.recordTime(queued, true, 5_000, mNow)).isEqualTo(Subject.NONE);
    }

    @Test
    void keysInConstantUseSurviveManyOtherKeys() {
        serve(PLAIN, 1, 50, 20);
        for (int i = 0; i < 10 * CostTable.MAX_KEYS; i++) {
            mLearner.cost().recordTime(CostKey.plain("r" + i), 1, 5, mNow);
            if (i % 100 == 0) {
                serve(PLAIN, 1, 50, 1);
            }
        }
        assertThat(mLearner.cost().keys()).isLessThanOrEqualTo(CostTable.MAX_KEYS);
        assertThat(predicted(PLAIN, 1)).isCloseTo(50, Percentage.withPercentage(25));
    }

    @Test
    void costIsForgottenWithoutSamples() {
        serve(STREAM, PUBLISHED_MILLIS, 80, 100);
        mNow = mNow.plus(Duration.ofMinutes(3));
        assertThat(predicted(STREAM, PUBLISHED_MILLIS)).isEqualTo(PUBLISHED_MILLIS);
    }

    @Test
    void answersAreKnownAsMeanAndTail() {
        for (int i = 0; i < 2_000; i++) {
            mLearner.cost().recordAnswer(STREAM, Math.round(spread(100)), mNow);
        }
        CostDistribution events = mLearner.cost().answerEvents(STREAM, mNow).orElseThrow();
        assertThat(events.mean()).isCloseTo(102, Percentage.withPercentage(12));
        assertThat(events.p90()).isCloseTo(129, Percentage.withPercentage(15));
    }

    @Test
    void predictionsOfStableLoadAreCalibrated() {
        int count = 5_000;
        serve(PLAIN, 1, 50, count);
        for (int decile = 0; decile < CostDistribution.DECILES; decile++) {
            assertThat(mLearner.calibration().count(decile) / (double) count).isBetween(0.05, 0.15);
        }
    }
}
