package io.bilberrygrade.core.contention;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.StrictStreamEngines;
import java.time.Duration;
import java.time.Instant;

/**
 * How many engines strict streams use, and what that follows from.
 *
 * @param engines number of engines for strict streams
 * @param spread whether they use all engines, since hardly any prefills long prompts
 * @param streams strict streams by the sums
 * @param unseenArrivals strict streams that the sums don't show
 * @param prefilling engines with queued prefill of long prompts, now or a little earlier
 * @param age mean age of the reports in the sums
 */
public record StrictStreamForecast(
        int engines,
        boolean spread,
        int streams,
        double unseenArrivals,
        double prefilling,
        Duration age) {
    /**
     * Fraction of the engines with queued prefill up to which strict streams use all engines. Short
     * prompts alone keep a few engines above the limit. At a quarter or a third, streams are placed
     * on all engines between two long prompts, and more of them are late beside the next one.
     */
    private static final double MAX_PREFILLING_FRACTION = 0.1;

    /**
     * Strict streams for each engine that are assumed to arrive unseen at least. A swing starts
     * before any sums show it, and without unseen arrivals all daemons would choose the same few
     * engines.
     */
    private static final double MIN_ARRIVALS_PER_ENGINE = 0.25;

    /**
     * Fraction of the engines that strict streams may use for the other engines to be enough for
     * long prompts. Above it, keeping long prompts off engines without a stream yet delays them
     * more than it spares streams.
     */
    private static final double MAX_RESERVED_FRACTION = 0.5;

    static StrictStreamForecast of(
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            StrictStreamTrend trend,
            Instant now) {
        int streams =
                Ints.saturatedCast(
                        candidates.stream().mapToLong(c -> c.work().strictCalls()).sum());
        double prefilling = trend.prefilling();
        double reserve = candidates.size() * MIN_ARRIVALS_PER_ENGINE;
        double expected = streams + trend.growthWhileOneRuns() + reserve;
        boolean spread = prefilling <= candidates.size() * MAX_PREFILLING_FRACTION;
        return new StrictStreamForecast(
                spread
                        ? candidates.size()
                        : StrictStreamEngines.count(cost, expected, candidates.size()),
                spread,
                streams,
                trend.unseenArrivals(now) + reserve,
                prefilling,
                trend.age(now));
    }

    /** Returns whether long prompts avoid the engines for strict streams. */
    boolean reserves(int allEngines) {
        return engines <= allEngines * MAX_RESERVED_FRACTION;
    }
}
