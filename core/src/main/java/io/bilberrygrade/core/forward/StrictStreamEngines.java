package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the engines for strict streams, which are mostly short prompts with a tight gap goal.
 * Many daemons place such streams concurrently and learn of each other's placements a tenth of a
 * second later. The total number of strict streams changes little in that time, so all daemons
 * derive nearly the same engines from it, although none of them has the latest assignments to each
 * engine.
 */
public final class StrictStreamEngines {
    /**
     * Strict streams per slot of an engine, which leaves capacity for those that arrive before a
     * daemon learns of the others' placements.
     */
    private static final double STREAMS_PER_SLOT = 0.7;

    /**
     * Maximum fraction of the engines for strict streams, so that long prompts are prefilled at
     * peak load too.
     */
    private static final double MAX_ENGINE_FRACTION = 0.85;

    /**
     * Queued prefill, in milliseconds, behind which a strict stream still sends its first event in
     * time.
     */
    public static final double MAX_PREFILL_MILLIS = 60;

    private StrictStreamEngines() {}

    /**
     * Returns the engines with the lowest ids: enough for the current strict streams and one more.
     */
    static ImmutableSet<EndpointId> of(EngineCost cost, List<Candidate> candidates) {
        double strictStreams = candidates.stream().mapToDouble(c -> c.work().strictCalls()).sum();
        return candidates.stream()
                .filter(c -> c.work().readMillis() <= MAX_PREFILL_MILLIS)
                .map(c -> c.endpoint().id())
                .sorted(Comparator.comparing(EndpointId::value))
                .limit(count(cost, strictStreams, candidates.size()))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns how many of the engines are enough for the given strict streams and one more. */
    public static int count(EngineCost cost, double strictStreams, int engines) {
        int wanted = (int) Math.ceil((strictStreams + 1) / (STREAMS_PER_SLOT * cost.slots()));
        int max = (int) Math.ceil(engines * MAX_ENGINE_FRACTION);
        return Math.min(wanted, max);
    }
}
