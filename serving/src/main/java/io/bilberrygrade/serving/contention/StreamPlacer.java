package io.bilberrygrade.serving.contention;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.contention.StaleSumsPlacement;
import io.bilberrygrade.core.contention.StrictStreamForecast;
import io.bilberrygrade.core.contention.StrictStreamTrend;
import io.bilberrygrade.core.exchange.ReceivedSums;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Places prompts on model engines with regard to the age of the sums, where the deployment calls
 * for it. Logs the number of engines for strict streams when it has changed much.
 */
public final class StreamPlacer {
    /** Part by which the number of engines has to change to be logged again. */
    private static final double LOGGED_CHANGE = 0.25;

    private final ReceivedSums mSums;
    private final Supplier<FleetTraits> mTraits;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private Optional<StrictStreamForecast> mLogged = Optional.empty();
    private int mStrictEngines;

    /** Creates a placer that takes the fleet's demand from the given sums. */
    public StreamPlacer(
            ReceivedSums sums,
            Supplier<FleetTraits> traits,
            UniformRandomProvider random,
            EventLog events) {
        mSums = sums;
        mTraits = traits;
        mRandom = random;
        mEvents = events;
    }

    /**
     * Returns the number of engines for strict streams at the last placement; 0 if it disregarded
     * the age of the sums.
     */
    public int strictEngines() {
        return mStrictEngines;
    }

    /**
     * Returns the placement of a prompt, or empty if there is no engine.
     *
     * @param otherwise places the prompt where the age of the sums is disregarded
     */
    public Optional<StreamPlacement> place(
            StreamNeed need,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            Instant now,
            Supplier<Optional<StreamPlacement>> otherwise) {
        Optional<StrictStreamTrend> trend = mSums.strictStreamTrend(now);
        if (candidates.isEmpty() || !StaleSumsPlacement.appliesTo(mTraits.get(), trend)) {
            mStrictEngines = 0;
            return otherwise.get();
        }
        StrictStreamForecast forecast =
                StaleSumsPlacement.forecast(cost, candidates, trend.get(), now);
        mStrictEngines = forecast.engines();
        if (mLogged.filter(l -> !differs(l, forecast)).isEmpty()) {
            mLogged = Optional.of(forecast);
            record(forecast, candidates.size());
        }
        return StaleSumsPlacement.place(
                need, cost, candidates, trend.get(), now, mRandom.nextDouble());
    }

    private static boolean differs(StrictStreamForecast logged, StrictStreamForecast current) {
        return logged.spread() != current.spread()
                || Math.abs(logged.engines() - current.engines())
                        > logged.engines() * LOGGED_CHANGE;
    }

    private void record(StrictStreamForecast forecast, int candidates) {
        mEvents.record(
                new ForwardEvent.StrictStreamEnginesChanged(
                        forecast.engines(),
                        candidates,
                        forecast.spread(),
                        forecast.streams(),
                        Math.round(forecast.unseenArrivals()),
                        Math.round(forecast.prefilling()),
                        forecast.age().toMillis()));
    }
}
