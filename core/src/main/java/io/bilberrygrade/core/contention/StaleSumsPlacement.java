package io.bilberrygrade.core.contention;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import io.bilberrygrade.core.forward.StrictStreamEngines;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.room.FleetTraits;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

/**
 * Places prompts in a fleet whose daemons learn of each other's placements only after some tenths
 * of a second, in which the demand may swing between short and long prompts. The load it addresses:
 * 134 daemons, 45 engines, 45 short prompts a second on average, of which 16 a second become 112
 * within the age of the sums.
 *
 * <p>Strict streams use as many engines as are needed for those that run and those to come, and all
 * engines while hardly any prefills long prompts. Each stream is drawn to an engine in proportion
 * to what the engine lacks to an even load after the arrivals that the sums don't show, so that
 * engines fill evenly although no daemon sees the others' latest placements. While strict streams
 * need at most half of the engines, long prompts avoid these also where the sums show no stream
 * yet. Only new placements change; a prompt that has been placed stays where it is.
 */
public final class StaleSumsPlacement {
    private static final Comparator<Candidate> BY_ID =
            Comparator.comparing(c -> c.endpoint().id().value());

    private StaleSumsPlacement() {}

    /** Returns whether placement takes the age of the sums into account. */
    public static boolean appliesTo(FleetTraits traits, Optional<StrictStreamTrend> trend) {
        return traits.uneven() && trend.filter(StrictStreamTrend::isOld).isPresent();
    }

    /** Returns the number of engines for strict streams, with its reasons. */
    public static StrictStreamForecast forecast(
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            StrictStreamTrend trend,
            Instant now) {
        return StrictStreamForecast.of(cost, candidates, trend, now);
    }

    /**
     * Returns the placement of a prompt, or empty if there is no engine.
     *
     * @param draw uniform in [0, 1)
     */
    public static Optional<StreamPlacement> place(
            StreamNeed need,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            StrictStreamTrend trend,
            Instant now,
            double draw) {
        StrictStreamForecast forecast = forecast(cost, candidates, trend, now);
        if (!need.strict()) {
            return StreamPlacementPolicy.place(
                    need,
                    cost,
                    forecast.reserves(candidates.size())
                            ? reserved(candidates, forecast)
                            : candidates);
        }
        return EvenFill.draw(
                        strictEngines(candidates, forecast),
                        c -> c.work().calls() * trend.remainingFraction(now),
                        c -> hasCapacity(c, need, cost),
                        forecast.unseenArrivals() + 1,
                        draw)
                .map(c -> onEngine(c, need, cost))
                .or(() -> StreamPlacementPolicy.place(need, cost, candidates));
    }

    /** Returns the prefill in the sums that isn't done yet if the engine works at it. */
    private static double prefillMillis(Candidate c, StrictStreamForecast forecast) {
        return c.work().readMillis() - forecast.age().toMillis();
    }

    /** Returns the engines for strict streams: those with the lowest ids that can prefill soon. */
    private static ImmutableList<Candidate> strictEngines(
            ImmutableList<Candidate> candidates, StrictStreamForecast forecast) {
        return candidates.stream()
                .filter(c -> prefillMillis(c, forecast) <= StrictStreamEngines.MAX_PREFILL_MILLIS)
                .sorted(BY_ID)
                .limit(forecast.engines())
                .collect(ImmutableList.toImmutableList());
    }

    /** Marks the engines for strict streams as having one, so that long prompts avoid them. */
    private static ImmutableList<Candidate> reserved(
            ImmutableList<Candidate> candidates, StrictStreamForecast forecast) {
        ImmutableSet<EndpointId> engines =
                candidates.stream()
                        .sorted(BY_ID)
                        .limit(forecast.engines())
                        .map(c -> c.endpoint().id())
                        .collect(ImmutableSet.toImmutableSet());
        return candidates.stream()
                .map(c -> engines.contains(c.endpoint().id()) ? withStrictStream(c) : c)
                .collect(ImmutableList.toImmutableList());
    }

    private static Candidate withStrictStream(Candidate c) {
        EndpointWork work = c.work();
        return new Candidate(
                c.endpoint(),
                new EndpointWork(
                        work.calls(),
                        work.readMillis(),
                        work.writers(),
                        Math.max(1, work.strictCalls()),
                        work.tokens()),
                c.rateLimited());
    }

    private static boolean hasCapacity(Candidate c, StreamNeed need, EngineCost cost) {
        return c.work().calls() < c.endpoint().slots()
                && c.work().tokens() + need.prompt().promptTokens() <= cost.memoryTokens();
    }

    private static StreamPlacement onEngine(Candidate c, StreamNeed need, EngineCost cost) {
        return new StreamPlacement(
                c.endpoint(),
                ImmutableList.of(),
                ImmutableMap.of(),
                (double) c.work().readMillis(),
                cost.readMillis(need.prompt().promptTokens()));
    }
}
