package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

/**
 * Arrivals over time: each phase multiplies the classes' means.
 *
 * @param crashedPart part of the engines that end for good in the middle of the pattern
 */
record LoadPattern(String name, ImmutableList<Phase> phases, double crashedPart) {
    private static final String QUESTION = "question";
    private static final String REVIEW = "review";
    private static final String AUDIT = "audit";
    private static final double BURST = 2.2;
    private static final double CRASH_BURST = 1.5;
    private static final double FIFTH = 0.2;
    private static final double PHASE_MILLIS = 10_000;

    private static final Phase AUDITS =
            new Phase(PHASE_MILLIS, ImmutableMap.of(QUESTION, 0.36, REVIEW, 1.3, AUDIT, 2.8));
    private static final Phase QUESTIONS =
            new Phase(PHASE_MILLIS, ImmutableMap.of(QUESTION, 2.5, REVIEW, 0.5, AUDIT, 0.05));

    private LoadPattern(String name, ImmutableList<Phase> phases) {
        this(name, phases, 0);
    }

    /** Demand that swings every ten seconds between audits and questions. */
    static LoadPattern swings() {
        return new LoadPattern("swings", ImmutableList.of(AUDITS, QUESTIONS, AUDITS));
    }

    /** The swings at a higher load of all classes. */
    static LoadPattern highSwings() {
        return new LoadPattern(
                "high-swings",
                ImmutableList.of(AUDITS.times(1.25), QUESTIONS.times(1.2), AUDITS.times(1.25)));
    }

    /** Steady demand of all classes. */
    static LoadPattern steady() {
        return new LoadPattern(
                "steady", ImmutableList.of(new Phase(3 * PHASE_MILLIS, ImmutableMap.of())));
    }

    /** Bursts of all classes, as long as the pauses between them. */
    static LoadPattern bursts() {
        Phase mean = new Phase(PHASE_MILLIS, ImmutableMap.of());
        return new LoadPattern("bursts", ImmutableList.of(mean, mean.times(BURST), mean));
    }

    /** A burst of all classes in which a fifth of the engines crash. */
    static LoadPattern crash() {
        Phase mean = new Phase(PHASE_MILLIS, ImmutableMap.of());
        return new LoadPattern(
                "crash", ImmutableList.of(mean, mean.times(CRASH_BURST), mean), FIFTH);
    }

    /** Returns the length in milliseconds. */
    double lengthMillis() {
        return phases.stream().mapToDouble(Phase::millis).sum();
    }

    /** Returns the largest factor of a class. */
    double most(String ofClass) {
        return phases.stream()
                .mapToDouble(p -> p.factors().getOrDefault(ofClass, p.others()))
                .max()
                .orElse(0);
    }

    /** Returns by how much a class's arrivals are multiplied at a time. */
    double factor(String ofClass, double atMillis) {
        double left = atMillis;
        for (Phase phase : phases) {
            if (left < phase.millis()) {
                return phase.factors().getOrDefault(ofClass, phase.others());
            }
            left -= phase.millis();
        }
        return 0;
    }

    /** A stretch of time with the same demand. */
    record Phase(double millis, ImmutableMap<String, Double> factors, double others) {
        Phase(double millis, ImmutableMap<String, Double> factors) {
            this(millis, factors, 1);
        }

        Phase times(double factor) {
            return new Phase(
                    millis,
                    ImmutableMap.copyOf(Maps.transformValues(factors, f -> f * factor)),
                    others * factor);
        }
    }
}
