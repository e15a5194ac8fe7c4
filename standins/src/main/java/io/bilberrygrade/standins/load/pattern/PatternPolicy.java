package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.contention.StaleSumsPlacement;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.LongPromptAdmission;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import java.util.Comparator;

/** Placement policies to compare. */
enum PatternPolicy {
    /** Places requests on the engines in turn. */
    ROUND_ROBIN {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            Candidate next = engines.get((int) (view.turn() % engines.size()));
            return onSingleEngine(next, need, cost);
        }
    },

    /** Places each request on the engine with the fewest requests. */
    LEAST_OUTSTANDING {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            Candidate leastLoaded =
                    engines.stream()
                            .min(Comparator.comparingInt(c -> c.work().calls()))
                            .orElseThrow();
            return onSingleEngine(leastLoaded, need, cost);
        }
    },

    /**
     * Splits the prefill of long prompts over up to 17 engines; places the others on the engine
     * with the least queued work.
     */
    ALL_READ {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            Candidate leastLoaded =
                    engines.stream()
                            .min(
                                    Comparator.comparingLong(
                                            c ->
                                                    c.work().readMillis()
                                                            + MILLIS_PER_CALL * c.work().calls()))
                            .orElseThrow();
            double millis = cost.readMillis(need.prompt().promptTokens());
            if (millis < MIN_SPLIT_MILLIS) {
                return onSingleEngine(leastLoaded, need, cost);
            }
            ImmutableList<RegisteredEndpoint> helpers =
                    engines.stream()
                            .filter(c -> !c.equals(leastLoaded))
                            .map(Candidate::endpoint)
                            .limit(MAX_HELPERS)
                            .collect(ImmutableList.toImmutableList());
            return new StreamPlacement(
                    leastLoaded.endpoint(),
                    helpers,
                    ImmutableMap.of(),
                    0,
                    millis / (helpers.size() + 1));
        }
    },

    /** The product's policy, but packs strict requests on the engine with the most of them. */
    PACKED {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return engines.stream()
                    .filter(c -> need.strict())
                    .filter(c -> c.work().strictCalls() > 0 && c.work().calls() < cost.slots())
                    .filter(c -> c.work().readMillis() <= MAX_QUEUED_PREFILL_MILLIS)
                    .max(
                            Comparator.comparingInt((Candidate c) -> c.work().strictCalls())
                                    .thenComparing(c -> c.endpoint().id().value()))
                    .map(c -> onSingleEngine(c, need, cost))
                    .orElseGet(() -> FULL.place(need, cost, engines, view));
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** {@link #WITHOUT_AGE}, but strict requests use all engines without queued prefill. */
    UNPACKED {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return engines.stream()
                    .filter(c -> need.strict())
                    .filter(c -> c.work().calls() < cost.slots())
                    .filter(c -> c.work().readMillis() <= MAX_QUEUED_PREFILL_MILLIS)
                    .limit(2)
                    .min(
                            Comparator.comparingLong((Candidate c) -> c.work().readMillis())
                                    .thenComparing(c -> c.work().calls()))
                    .map(c -> onSingleEngine(c, need, cost))
                    .orElseGet(() -> WITHOUT_AGE.place(need, cost, engines, view));
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy without learned costs. */
    FULL {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return StaleSumsPlacement.appliesTo(view.traits(), view.trend())
                    ? StaleSumsPlacement.place(
                                    need,
                                    cost,
                                    engines,
                                    view.trend().orElseThrow(),
                                    view.now(),
                                    view.draw())
                            .orElseThrow()
                    : WITHOUT_AGE.place(need, cost, engines, view);
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return LongPromptAdmission.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but takes sums of any age as if they were recent. */
    WITHOUT_AGE {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return StreamPlacementPolicy.place(need, cost, engines).orElseThrow();
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but long prompts use the engines that strict streams will use. */
    WITHOUT_RESERVING {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return (need.strict() ? FULL : WITHOUT_AGE).place(need, cost, engines, view);
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but places strict streams by learned costs and speeds. */
    LEARNED_COST {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return FULL.place(need, cost, engines, view);
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }

        @Override
        boolean predicts(StreamNeed need) {
            return need.strict();
        }
    },

    /** As with learned costs, but the engines' speeds are known from the start. */
    KNOWN_COST {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return FULL.place(need, cost, engines, view);
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }

        @Override
        boolean predicts(StreamNeed need) {
            return need.strict();
        }
    },

    /** The product's policy, but predicts the end of a prefill without its queueing time. */
    WITHOUT_WAIT {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            StreamPlacement placed = FULL.place(need, cost, engines, view);
            return new StreamPlacement(
                    placed.first(),
                    placed.helpers(),
                    placed.reservations(),
                    0,
                    placed.partMillis());
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but uses rate-limited engines only if there are no others. */
    WITHOUT_LIMITED {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            ImmutableList<Candidate> unlimited =
                    engines.stream()
                            .filter(c -> !c.rateLimited())
                            .collect(ImmutableList.toImmutableList());
            return FULL.place(need, cost, unlimited.isEmpty() ? engines : unlimited, view);
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy without refusals. */
    NO_REFUSALS {
        @Override
        StreamPlacement place(
                StreamNeed need,
                EngineCost cost,
                ImmutableList<Candidate> engines,
                PatternView view) {
            return FULL.place(need, cost, engines, view);
        }
    };

    private static final int MAX_HELPERS = 16;
    private static final long MILLIS_PER_CALL = 8;
    private static final double MIN_SPLIT_MILLIS = 200;
    private static final long MAX_QUEUED_PREFILL_MILLIS = 60;

    abstract StreamPlacement place(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, PatternView view);

    /** Returns whether a request is refused on arrival. */
    boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
        return false;
    }

    /** Returns whether a request is placed by its predicted completion. */
    boolean predicts(StreamNeed need) {
        return false;
    }

    private static StreamPlacement onSingleEngine(
            Candidate engine, StreamNeed need, EngineCost cost) {
        return new StreamPlacement(
                engine.endpoint(),
                ImmutableList.of(),
                ImmutableMap.of(),
                0,
                cost.readMillis(need.prompt().promptTokens()));
    }
}
