package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

/**
 * Arrival rates over time: each phase multiplies the classes' mean rates.
 *
 * @param crashedFraction fraction of the engines that crash permanently halfway through the pattern
 * @param limitedFraction fraction of the engines that state a rate limit
 * @param slowFraction fraction of the engines that have a third of the published speed
 */
record LoadPattern(
        String name,
        ImmutableList<Phase> phases,
        double crashedFraction,
        double limitedFraction,
        double slowFraction) {
    private static final String QUESTION = "question";
    private static final String REVIEW = "review";
    private static final String AUDIT = "audit";
    private static final double BURST = 2.2;
    private static final double CRASH_BURST = 1.5;
    private static final double CRASHED_FRACTION = 0.2;
    private static final double LIMITED_FRACTION = 0.125;
    private static final double SLOW_FRACTION = 0.1;
    private static final double PHASE_MILLIS = 10_000;
    private static final int LEARNING_PHASES = 12;

    private static final Phase AUDITS =
            new Phase(PHASE_MILLIS, ImmutableMap.of(QUESTION, 0.36, REVIEW, 1.3, AUDIT, 2.8));
    private static final Phase QUESTIONS =
            new Phase(PHASE_MILLIS, ImmutableMap.of(QUESTION, 2.5, REVIEW, 0.5, AUDIT, 0.05));

    private LoadPattern(String name, ImmutableList<Phase> phases) {
        this(name, phases, 0, 0, 0);
    }

    /** Demand that alternates every ten seconds between audits and questions. */
    static LoadPattern swings() {
        return new LoadPattern("swings", ImmutableList.of(AUDITS, QUESTIONS, AUDITS));
    }

    /** The same alternation at a higher load of all classes. */
    static LoadPattern highSwings() {
        return new LoadPattern(
                "high-swings",
                ImmutableList.of(AUDITS.times(1.25), QUESTIONS.times(1.2), AUDITS.times(1.25)));
    }

    /** Demand that swings twice from audits to questions and back, faster than old sums show. */
    static LoadPattern mixSwings() {
        Phase audits =
                new Phase(PHASE_MILLIS, ImmutableMap.of(QUESTION, 0.35, REVIEW, 1.3, AUDIT, 2.8));
        return new LoadPattern(
                "mix-swings", ImmutableList.of(audits, QUESTIONS, audits, QUESTIONS, audits));
    }

    /** Steady demand of all classes. */
    static LoadPattern steady() {
        return new LoadPattern(
                "steady", ImmutableList.of(new Phase(3 * PHASE_MILLIS, ImmutableMap.of())));
    }

    /** One burst of all classes, with as much time at the mean rate before and after it. */
    static LoadPattern bursts() {
        Phase mean = new Phase(PHASE_MILLIS, ImmutableMap.of());
        return new LoadPattern("bursts", ImmutableList.of(mean, mean.times(BURST), mean));
    }

    /** A burst of all classes in which a fifth of the engines crash. */
    static LoadPattern crash() {
        Phase mean = new Phase(PHASE_MILLIS, ImmutableMap.of());
        return new LoadPattern(
                "crash",
                ImmutableList.of(mean, mean.times(CRASH_BURST), mean),
                CRASHED_FRACTION,
                0,
                0);
    }

    /** Demand that alternates while some engines state a rate limit below their usual rate. */
    static LoadPattern limits() {
        return new LoadPattern(
                "limits", ImmutableList.of(AUDITS, QUESTIONS, AUDITS), 0, LIMITED_FRACTION, 0);
    }

    /**
     * Steady demand while some engines are slower than published; long enough that each daemon has
     * several answers of each engine.
     */
    static LoadPattern slow() {
        return new LoadPattern(
                "slow",
                ImmutableList.of(new Phase(LEARNING_PHASES * PHASE_MILLIS, ImmutableMap.of())),
                0,
                0,
                SLOW_FRACTION);
    }

    /** Returns the length in milliseconds. */
    double lengthMillis() {
        return phases.stream().mapToDouble(Phase::millis).sum();
    }

    /** Returns the time in milliseconds since the phase at a time began. */
    double sincePhaseMillis(double atMillis) {
        double left = atMillis;
        for (Phase phase : phases) {
            if (left < phase.millis()) {
                break;
            }
            left -= phase.millis();
        }
        return left;
    }

    /** Returns the largest rate factor of a class. */
    double maxFactor(String requestClass) {
        return phases.stream()
                .mapToDouble(p -> p.factors().getOrDefault(requestClass, p.defaultFactor()))
                .max()
                .orElse(0);
    }

    /** Returns a class's rate factor at the given time. */
    double factorAt(String requestClass, double atMillis) {
        double left = atMillis;
        for (Phase phase : phases) {
            if (left < phase.millis()) {
                return phase.factors().getOrDefault(requestClass, phase.defaultFactor());
            }
            left -= phase.millis();
        }
        return 0;
    }

    /**
     * Period of constant demand; {@code defaultFactor} is the factor of classes without their own.
     */
    record Phase(double millis, ImmutableMap<String, Double> factors, double defaultFactor) {
        Phase(double millis, ImmutableMap<String, Double> factors) {
            this(millis, factors, 1);
        }

        Phase times(double factor) {
            return new Phase(
                    millis,
                    ImmutableMap.copyOf(Maps.transformValues(factors, f -> f * factor)),
                    defaultFactor * factor);
        }
    }
}
