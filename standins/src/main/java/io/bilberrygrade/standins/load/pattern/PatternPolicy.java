package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            Candidate next = engines.get((int) (turn % engines.size()));
            return onSingleEngine(next, need, cost);
        }
    },

    /** Places each request on the engine with the fewest requests. */
    LEAST_OUTSTANDING {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
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
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
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
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return engines.stream()
                    .filter(c -> need.strict())
                    .filter(c -> c.work().strictCalls() > 0 && c.work().calls() < cost.slots())
                    .filter(c -> c.work().readMillis() <= MAX_QUEUED_PREFILL_MILLIS)
                    .max(
                            Comparator.comparingInt((Candidate c) -> c.work().strictCalls())
                                    .thenComparing(c -> c.endpoint().id().value()))
                    .map(c -> onSingleEngine(c, need, cost))
                    .orElseGet(() -> FULL.place(need, cost, engines, turn));
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but strict requests use all engines without queued prefill. */
    UNPACKED {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return engines.stream()
                    .filter(c -> need.strict())
                    .filter(c -> c.work().calls() < cost.slots())
                    .filter(c -> c.work().readMillis() <= MAX_QUEUED_PREFILL_MILLIS)
                    .limit(2)
                    .min(
                            Comparator.comparingLong((Candidate c) -> c.work().readMillis())
                                    .thenComparing(c -> c.work().calls()))
                    .map(c -> onSingleEngine(c, need, cost))
                    .orElseGet(() -> FULL.place(need, cost, engines, turn));
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.rejects(need, cost, engines);
        }
    },

    /** The product's policy. */
    FULL {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return StreamPlacementPolicy.place(need, cost, engines).orElseThrow();
        }

        @Override
        boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return LongPromptAdmission.rejects(need, cost, engines);
        }
    },

    /** The product's policy, but predicts the end of a prefill without its queueing time. */
    WITHOUT_WAIT {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            StreamPlacement placed = FULL.place(need, cost, engines, turn);
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
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            ImmutableList<Candidate> unlimited =
                    engines.stream()
                            .filter(c -> !c.rateLimited())
                            .collect(ImmutableList.toImmutableList());
            return FULL.place(need, cost, unlimited.isEmpty() ? engines : unlimited, turn);
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
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return FULL.place(need, cost, engines, turn);
        }
    };

    private static final int MAX_HELPERS = 16;
    private static final long MILLIS_PER_CALL = 8;
    private static final double MIN_SPLIT_MILLIS = 200;
    private static final long MAX_QUEUED_PREFILL_MILLIS = 60;

    abstract StreamPlacement place(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn);

    /** Returns whether a request is refused on arrival. */
    boolean rejects(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
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
