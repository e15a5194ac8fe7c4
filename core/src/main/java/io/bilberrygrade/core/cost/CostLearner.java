package io.bilberrygrade.core.cost;

import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * Decides what a response teaches: an endpoint that is cold, slow, ejected or silent takes longer
 * for any request, which says nothing about the request.
 */
public final class CostLearner {
    private final LearnedCost mCost = new LearnedCost();
    private final EndpointSpeed mSpeeds = new EndpointSpeed();
    private final CostCalibration mCalibration = new CostCalibration();

    /** Returns the learned cost of requests. */
    public LearnedCost cost() {
        return mCost;
    }

    /** Returns the learned speeds of endpoints. */
    public EndpointSpeed speeds() {
        return mSpeeds;
    }

    /** Returns the counts of predictions that were right or wrong. */
    public CostCalibration calibration() {
        return mCalibration;
    }

    /** Returns the prediction for a request at an endpoint. */
    public CostPrediction predict(
            CostKey key, double publishedMillis, EndpointRun run, Instant now) {
        return new CostPrediction(
                key, publishedMillis, mCost.millis(key, publishedMillis, now), mSpeeds.of(run));
    }

    /**
     * Records the time until the first event of a stream or to the end of a plain request. {@code
     * sound} is whether nothing but its speed is known to be wrong with the endpoint.
     */
    public Subject recordTime(AttemptCost attempt, boolean sound, double millis, Instant now) {
        OptionalDouble own = attempt.ownMillis(millis);
        return own.isPresent() && own.getAsDouble() > 0
                ? recordOwnTime(attempt, sound, own.getAsDouble(), now)
                : Subject.NONE;
    }

    private Subject recordOwnTime(AttemptCost attempt, boolean sound, double own, Instant now) {
        CostPrediction prediction = attempt.prediction();
        EndpointRun run = attempt.endpoint().run();
        prediction.learned().ifPresent(d -> mCalibration.record(d, own * prediction.speed()));
        if (prediction.isKnown() && !attempt.split()) {
            mSpeeds.recordRatio(run, own / prediction.ownMillis(), now);
        }
        if (!sound || mSpeeds.isSlow(run)) {
            return prediction.isKnown() && !attempt.split() ? Subject.ENDPOINT : Subject.NONE;
        }
        mCost.recordTime(
                prediction.key(), prediction.publishedMillis(), own * mSpeeds.of(run), now);
        return Subject.REQUEST;
    }

    /**
     * Records that an endpoint hasn't answered for a time; it is at least as slow as that implies.
     */
    public Subject recordSilence(AttemptCost attempt, double millis, Instant now) {
        CostPrediction prediction = attempt.prediction();
        EndpointRun run = attempt.endpoint().run();
        double ratio = (millis - attempt.waitMillis()) / prediction.ownMillis();
        if (!prediction.isKnown() || attempt.split() || ratio <= 1 / mSpeeds.of(run)) {
            return Subject.NONE;
        }
        mSpeeds.recordRatio(run, ratio, now);
        return Subject.ENDPOINT;
    }

    /** What a response taught something about. */
    public enum Subject {
        REQUEST,
        ENDPOINT,
        NONE
    }
}
