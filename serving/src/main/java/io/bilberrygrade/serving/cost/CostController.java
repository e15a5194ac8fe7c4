package io.bilberrygrade.serving.cost;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.cost.CostDistribution;
import io.bilberrygrade.core.cost.CostKey;
import io.bilberrygrade.core.cost.CostLearner;
import io.bilberrygrade.core.cost.CostPrediction;
import io.bilberrygrade.core.cost.PredictedPlacement;
import io.bilberrygrade.core.cost.StreamCost;
import io.bilberrygrade.core.exchange.ReceivedSums;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.PlainPlacementPolicy;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.request.LengthBand;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.CostEvent;
import io.bilberrygrade.serving.event.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Learns the cost of requests from their responses, where the deployment calls for it, and counts
 * and logs how predictions compare with them.
 */
public final class CostController {
    /** Factor between two means of one kind of requests from which on the later one is logged. */
    private static final double CHANGE_FACTOR = 1.5;

    /** Factor between the observed and the predicted time from which on it is logged. */
    private static final double MISS_FACTOR = 4;

    private static final Duration MISS_LOG_INTERVAL = Duration.ofSeconds(1);

    /** Number of kinds of requests of which the logged mean is kept. */
    private static final int MAX_LOGGED = 512;

    private static final double PERCENT = 100;

    private final CostLearner mLearner = new CostLearner();
    private final Map<CostKey, Double> mLoggedMeans = new HashMap<>();
    private final Supplier<FleetTraits> mTraits;
    private final ReceivedSums mSums;
    private final EventLog mEvents;
    private final MetricRegistry mMetrics;
    private Instant mMissLoggedAt = Instant.EPOCH;

    /** Creates the controller; {@code sums} are those that placements are based on. */
    public CostController(
            Supplier<FleetTraits> traits,
            ReceivedSums sums,
            EventLog events,
            MetricRegistry metrics) {
        mTraits = traits;
        mSums = sums;
        mEvents = events;
        mMetrics = metrics;
        for (int decile = 0; decile < CostDistribution.DECILES; decile++) {
            int number = decile;
            Gauge<Long> gauge = () -> mLearner.calibration().count(number);
            metrics.register("cost_decile." + (decile + 1), gauge);
        }
    }

    /** Returns whether costs are learned in this deployment. */
    public boolean isEnabled() {
        return mTraits.get().any();
    }

    /** Returns the endpoint of a plain service for a request from the given data centre. */
    public Optional<RegisteredEndpoint> placePlain(
            Route route, DataCentreId caller, ImmutableList<Candidate> candidates, Instant now) {
        Optional<CostDistribution> learned =
                isEnabled()
                        ? mLearner.cost().millis(CostKey.plain(route.name()), 1, now)
                        : Optional.empty();
        countPlacement(learned);
        return learned.isPresent()
                ? PredictedPlacement.plain(
                        caller, candidates, learned.get().mean(), mLearner.speeds()::of)
                : PlainPlacementPolicy.place(caller, candidates);
    }

    /** Returns the placement of a prompt, or empty if there is no engine. */
    public Optional<StreamPlacement> placeStream(
            Route route,
            StreamNeed need,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            Instant now) {
        if (!isEnabled() || !need.strict()) {
            return StreamPlacementPolicy.place(need, cost, candidates);
        }
        Optional<CostDistribution> ratio =
                mLearner.cost().millis(CostKey.stream(route.name(), need.prompt()), 1, now);
        countPlacement(ratio);
        return StreamPlacementPolicy.place(
                need,
                cost,
                candidates,
                PredictedPlacement.streamOrder(
                        cost,
                        need.prompt().promptTokens(),
                        ratio.map(CostDistribution::mean).orElse(1.0),
                        mLearner.speeds()::of));
    }

    private void countPlacement(Optional<CostDistribution> learned) {
        if (isEnabled()) {
            String source = learned.isPresent() ? "learned" : "published";
            mMetrics.counter("cost_placements." + source).inc();
        }
    }

    /** Returns the predicted cost of a request at an endpoint of a plain service. */
    public Optional<AttemptCost> plain(
            Route route, RegisteredEndpoint endpoint, EndpointWork known, Instant now) {
        if (!isEnabled()) {
            return Optional.empty();
        }
        CostPrediction prediction =
                mLearner.predict(CostKey.plain(route.name()), 1, endpoint.run(), now);
        return Optional.of(new AttemptCost(prediction, endpoint, known, 0, false));
    }

    /** Returns the predicted cost of a stream that is placed. */
    public Optional<AttemptCost> stream(
            Route route,
            PromptShape prompt,
            EngineCost cost,
            StreamPlacement placed,
            EndpointWork known,
            Instant now) {
        if (!isEnabled()) {
            return Optional.empty();
        }
        double prefillMillis =
                cost.readMillis(prompt.promptTokens()) / (placed.helpers().size() + 1);
        double published =
                StreamCost.firstEventMillis(cost, known, prompt.promptTokens(), prefillMillis);
        CostPrediction prediction =
                mLearner.predict(
                        CostKey.stream(route.name(), prompt), published, placed.first().run(), now);
        return Optional.of(
                new AttemptCost(
                        prediction,
                        placed.first(),
                        known,
                        placed.waitMillis(),
                        !placed.helpers().isEmpty()));
    }

    /**
     * Records the time until the first event of a stream, or to the end of a plain request. {@code
     * sound} is whether nothing but its speed is known to be wrong with the endpoint.
     */
    public void recordTime(AttemptCost attempt, boolean sound, Duration observed, Instant now) {
        double millis = millis(observed);
        if (attempt.prediction().isKnown()) {
            double percent = PERCENT * millis / attempt.predictedMillis();
            mMetrics.histogram("daemon.cost_observed_percent").update(Math.round(percent));
            logMiss(attempt, millis, now);
        }
        count(mLearner.recordTime(attempt, sound, millis, now));
        logChange(attempt.prediction().key(), now);
    }

    /** Records that an endpoint hasn't answered an attempt for the given time. */
    public void recordSilence(AttemptCost attempt, Duration silent, Instant now) {
        count(mLearner.recordSilence(attempt, millis(silent), now));
    }

    /** Records the number of events of a complete answer. */
    public void recordAnswer(AttemptCost attempt, long events, Instant now) {
        mLearner.cost().recordAnswer(attempt.prediction().key(), events, now);
    }

    /** Removes what is known of the runs that don't meet the condition. */
    public void retain(Predicate<EndpointRun> condition) {
        mLearner.speeds().retain(condition);
    }

    private void count(CostLearner.Subject subject) {
        mMetrics.counter("cost_learned." + subject.name().toLowerCase(Locale.ROOT)).inc();
    }

    private static double millis(Duration duration) {
        return (double) duration.toNanos() / Duration.ofMillis(1).toNanos();
    }

    private void logMiss(AttemptCost attempt, double millis, Instant now) {
        if (millis < MISS_FACTOR * attempt.predictedMillis()
                || Duration.between(mMissLoggedAt, now).compareTo(MISS_LOG_INTERVAL) < 0) {
            return;
        }
        mMissLoggedAt = now;
        CostPrediction prediction = attempt.prediction();
        mEvents.record(
                new CostEvent.PredictionMissed(
                        prediction.key().route(),
                        band(prediction.key()),
                        attempt.endpoint().id().value(),
                        Math.round(attempt.predictedMillis()),
                        Math.round(millis),
                        prediction.learned().isPresent(),
                        prediction.speed(),
                        attempt.known().toString(),
                        mSums.age(now).map(Duration::toMillis).orElse(-1L)));
    }

    private void logChange(CostKey key, Instant now) {
        Optional<CostDistribution> learned = mLearner.cost().millis(key, 1, now);
        if (learned.isEmpty()) {
            return;
        }
        double mean = learned.get().mean();
        double before = mLoggedMeans.getOrDefault(key, 0.0);
        if (mean > before * CHANGE_FACTOR || mean < before / CHANGE_FACTOR) {
            if (mLoggedMeans.size() >= MAX_LOGGED) {
                mLoggedMeans.clear();
            }
            mLoggedMeans.put(key, mean);
            mEvents.record(
                    new CostEvent.CostLearned(
                            key.route(), band(key), mean, learned.get().p90(), before));
        }
    }

    private static String band(CostKey key) {
        return key.band().map(LengthBand::label).orElse("");
    }
}
