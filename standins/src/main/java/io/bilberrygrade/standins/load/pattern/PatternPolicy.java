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

/** Placement policies that are measured side by side. */
enum PatternPolicy {
    /** Engines in turn. */
    ROUND_ROBIN {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            Candidate next = engines.get((int) (turn % engines.size()));
            return alone(next, need, cost);
        }
    },

    /** The engine with the fewest requests. */
    LEAST_OUTSTANDING {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            Candidate least =
                    engines.stream()
                            .min(Comparator.comparingInt(c -> c.work().calls()))
                            .orElseThrow();
            return alone(least, need, cost);
        }
    },

    /** Long prompts are read by all engines, the others go where the least is to be read. */
    ALL_READ {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            Candidate least =
                    engines.stream()
                            .min(
                                    Comparator.comparingLong(
                                            c ->
                                                    c.work().readMillis()
                                                            + CALL_MILLIS * c.work().calls()))
                            .orElseThrow();
            double millis = cost.readMillis(need.prompt().promptTokens());
            if (millis < SPLIT_MILLIS) {
                return alone(least, need, cost);
            }
            ImmutableList<RegisteredEndpoint> helpers =
                    engines.stream()
                            .filter(c -> !c.equals(least))
                            .map(Candidate::endpoint)
                            .limit(MAX_HELPERS)
                            .collect(ImmutableList.toImmutableList());
            return new StreamPlacement(
                    least.endpoint(), helpers, ImmutableMap.of(), 0, millis / (helpers.size() + 1));
        }
    },

    /** The product's policy, but questions go to the fullest engine that has room, as once. */
    PACKED {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return engines.stream()
                    .filter(c -> need.strict())
                    .filter(c -> c.work().strictCalls() > 0 && c.work().calls() < cost.slots())
                    .filter(c -> c.work().readMillis() <= MOST_READING_MILLIS)
                    .max(
                            Comparator.comparingInt((Candidate c) -> c.work().strictCalls())
                                    .thenComparing(c -> c.endpoint().id().value()))
                    .map(c -> alone(c, need, cost))
                    .orElseGet(() -> FULL.place(need, cost, engines, turn));
        }

        @Override
        boolean refuses(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.refuses(need, cost, engines);
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
        boolean refuses(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return LongPromptAdmission.refuses(need, cost, engines);
        }
    },

    /** The product's policy, but prompts count as read as if they had never to wait. */
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
        boolean refuses(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
            return FULL.refuses(need, cost, engines);
        }
    },

    /** The product's policy, but nothing is turned away. */
    NO_REFUSALS {
        @Override
        StreamPlacement place(
                StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn) {
            return FULL.place(need, cost, engines, turn);
        }
    };

    private static final int MAX_HELPERS = 16;
    private static final long CALL_MILLIS = 8;
    private static final double SPLIT_MILLIS = 200;
    private static final long MOST_READING_MILLIS = 60;

    abstract StreamPlacement place(
            StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines, long turn);

    /** Returns whether a request is turned away at its arrival. */
    boolean refuses(StreamNeed need, EngineCost cost, ImmutableList<Candidate> engines) {
        return false;
    }

    private static StreamPlacement alone(Candidate engine, StreamNeed need, EngineCost cost) {
        return new StreamPlacement(
                engine.endpoint(),
                ImmutableList.of(),
                ImmutableMap.of(),
                0,
                cost.readMillis(need.prompt().promptTokens()));
    }
}
