package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.Optional;

/**
 * Places prompts on model engines. Load pattern: demand swings within seconds between short
 * questions, which write for seconds and miss their pauses when one pass takes long, and long
 * prompts, whose reading fills many passes. So questions are gathered on as few engines as carry
 * them, the same for all daemons, and long prompts are read in parts by the engines that have no
 * question; the boundary moves as the questions come and run out.
 *
 * <p>The candidates come in an order that differs from daemon to daemon and from request to
 * request. Among the engines for questions the first two are compared, and ties keep the order: if
 * all daemons took the one that looks best, they would all choose the same until they hear of each
 * other's choices.
 */
public final class StreamPlacementPolicy {
    /** Most engines that help with one prompt; from the protocol of the engines. */
    private static final int MAX_HELPERS = 16;

    /** Engines for questions of which the one with the least to read is taken. */
    private static final int DRAWN = 2;

    /** A question's first event comes once what its engine was given before has been read. */
    private static final Comparator<Candidate> LEAST_READING =
            Comparator.comparingLong((Candidate c) -> c.work().readMillis())
                    .thenComparingInt(c -> c.work().calls());

    private StreamPlacementPolicy() {}

    /** Returns the placement of a prompt, or empty if there is no engine. */
    public static Optional<StreamPlacement> place(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                need.strict() ? gathered(need, cost, candidates) : spread(need, cost, candidates));
    }

    private static StreamPlacement gathered(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        ImmutableSet<EndpointId> engines = QuestionEngines.of(cost, candidates);
        Candidate chosen =
                candidates.stream()
                        .filter(c -> engines.contains(c.endpoint().id()))
                        .filter(c -> hasRoom(c, need, cost))
                        .limit(DRAWN)
                        .min(LEAST_READING)
                        .orElseGet(() -> leastLoaded(candidates, need, cost));
        double millis = cost.readMillis(need.prompt().promptTokens());
        return new StreamPlacement(
                chosen.endpoint(),
                ImmutableList.of(),
                ImmutableMap.of(),
                (double) chosen.work().readMillis(),
                millis);
    }

    private static Candidate leastLoaded(
            ImmutableList<Candidate> candidates, StreamNeed need, EngineCost cost) {
        return candidates.stream()
                .min(
                        Comparator.comparing((Candidate c) -> !hasRoom(c, need, cost))
                                .thenComparing(LEAST_READING))
                .orElseThrow();
    }

    private static boolean hasRoom(Candidate c, StreamNeed need, EngineCost cost) {
        return c.work().calls() < c.endpoint().slots()
                && c.work().tokens() + need.prompt().promptTokens() <= cost.memoryTokens();
    }

    private static StreamPlacement spread(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> candidates) {
        double millis = cost.readMillis(need.prompt().promptTokens());
        ImmutableList<Candidate> readers = ReaderChoice.readers(need, millis, candidates);
        Candidate first = writer(need, cost, readers);
        ImmutableList<Candidate> helpers =
                readers.stream()
                        .filter(c -> !c.equals(first))
                        .limit(MAX_HELPERS)
                        .collect(ImmutableList.toImmutableList());
        return new StreamPlacement(
                first.endpoint(),
                helpers.stream().map(Candidate::endpoint).collect(ImmutableList.toImmutableList()),
                MemoryPlan.reservations(need.prompt(), cost, helpers),
                waitMillis(readers),
                millis / readers.size());
    }

    private static double waitMillis(ImmutableList<Candidate> readers) {
        return readers.stream().mapToLong(c -> c.work().readMillis()).max().orElse(0);
    }

    /**
     * Returns the engine that writes the answer: the one with the most in its memory that has room,
     * so that others stay without writers, whom long parts would hold up.
     */
    private static Candidate writer(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> readers) {
        return readers.stream()
                .filter(c -> c.work().strictCalls() == 0 && hasRoom(c, need, cost))
                .max(Comparator.comparingLong(c -> c.work().tokens()))
                .orElseGet(
                        () ->
                                readers.stream()
                                        .min(Comparator.comparingLong(c -> c.work().tokens()))
                                        .orElseThrow());
    }
}
