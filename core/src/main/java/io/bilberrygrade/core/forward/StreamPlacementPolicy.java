package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.Optional;

/**
 * Places prompts on model engines. Demand shifts within seconds between strict streams, whose short
 * prompts decode for seconds and miss their gap goal if one pass takes long, and long prompts,
 * whose prefill fills many passes. Strict streams are therefore packed onto as few engines as can
 * carry them, the same ones for all daemons, and long prompts are prefilled in parts by the engines
 * without strict streams; the boundary moves with the number of strict streams.
 *
 * <p>The order of the candidates differs between daemons and between requests. Among the engines
 * for strict streams the first two are compared, and ties keep the order: if all daemons took the
 * engine with the best load, they would all choose the same one until they learn of each other's
 * placements.
 */
public final class StreamPlacementPolicy {
    /** Maximum number of helpers for one prompt; from the engines' protocol. */
    private static final int MAX_HELPERS = 16;

    /** Engines for strict streams that are compared by queued prefill (power of two choices). */
    private static final int SAMPLED_ENGINES = 2;

    /** Orders by queued prefill, which must end before a strict stream sends its first event. */
    private static final Comparator<Candidate> LEAST_PREFILL =
            Comparator.comparingLong((Candidate c) -> c.work().readMillis())
                    .thenComparingInt(c -> c.work().calls());

    private StreamPlacementPolicy() {}

    /** Returns the placement of a prompt, or empty if there is no engine. */
    public static Optional<StreamPlacement> place(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        return place(need, cost, candidates, LEAST_PREFILL);
    }

    /**
     * Returns the placement of a prompt, or empty if there is no engine; {@code order} is that in
     * which engines for strict streams are preferred.
     */
    public static Optional<StreamPlacement> place(
            StreamNeed need,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            Comparator<Candidate> order) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ImmutableList<Candidate> usable = RateLimitedEngines.usable(need, cost, candidates);
        return Optional.of(
                need.strict() ? packed(need, cost, usable, order) : spread(need, cost, usable));
    }

    private static StreamPlacement packed(
            StreamNeed need,
            EngineCost cost,
            ImmutableList<Candidate> candidates,
            Comparator<Candidate> order) {
        ImmutableSet<EndpointId> engines = StrictStreamEngines.of(cost, candidates);
        Candidate chosen =
                candidates.stream()
                        .filter(c -> engines.contains(c.endpoint().id()))
                        .filter(c -> hasCapacity(c, need, cost))
                        .limit(SAMPLED_ENGINES)
                        .min(order)
                        .orElseGet(() -> first(candidates, need, cost, order));
        double prefillMillis = cost.readMillis(need.prompt().promptTokens());
        return new StreamPlacement(
                chosen.endpoint(),
                ImmutableList.of(),
                ImmutableMap.of(),
                (double) chosen.work().readMillis(),
                prefillMillis);
    }

    private static Candidate first(
            ImmutableList<Candidate> candidates,
            StreamNeed need,
            EngineCost cost,
            Comparator<Candidate> order) {
        return candidates.stream()
                .min(
                        Comparator.comparing((Candidate c) -> !hasCapacity(c, need, cost))
                                .thenComparing(order))
                .orElseThrow();
    }

    private static boolean hasCapacity(Candidate c, StreamNeed need, EngineCost cost) {
        return c.work().calls() < c.endpoint().slots()
                && c.work().tokens() + need.prompt().promptTokens() <= cost.memoryTokens();
    }

    private static StreamPlacement spread(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        double prefillMillis = cost.readMillis(need.prompt().promptTokens());
        ImmutableList<Candidate> engines =
                PrefillEngineSelector.engines(need, prefillMillis, candidates);
        Candidate first = decodeEngine(need, cost, engines);
        ImmutableList<Candidate> helpers =
                engines.stream()
                        .filter(c -> !c.equals(first))
                        .limit(MAX_HELPERS)
                        .collect(ImmutableList.toImmutableList());
        return new StreamPlacement(
                first.endpoint(),
                helpers.stream().map(Candidate::endpoint).collect(ImmutableList.toImmutableList()),
                MemoryPlan.reservations(need.prompt(), cost, helpers),
                waitMillis(engines),
                prefillMillis / engines.size());
    }

    private static double waitMillis(ImmutableList<Candidate> engines) {
        return engines.stream().mapToLong(c -> c.work().readMillis()).max().orElse(0);
    }

    /**
     * Returns the engine that decodes the answer: of the engines with capacity and without strict
     * streams, the one with the most memory in use, so that the other engines have no decoding
     * streams, which the prefill of long parts would stall.
     */
    private static Candidate decodeEngine(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
        return engines.stream()
                .filter(c -> c.work().strictCalls() == 0 && hasCapacity(c, need, cost))
                .max(Comparator.comparingLong(c -> c.work().tokens()))
                .orElseGet(
                        () ->
                                engines.stream()
                                        .min(Comparator.comparingLong(c -> c.work().tokens()))
                                        .orElseThrow());
    }
}
