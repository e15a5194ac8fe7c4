package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.ExchangeInterval;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.room.FleetTraits;

/**
 * Deployment to simulate, with its engines' published costs and its classes of requests.
 *
 * @param exchangeMillis interval at which daemons report their work and fetch the sums
 * @param tokensPerEvent tokens by which the context of an answer grows with each event
 */
record FleetProfile(
        String name,
        int daemons,
        int engines,
        EngineCost cost,
        long exchangeMillis,
        double tokensPerEvent,
        FleetTraits traits,
        ImmutableList<PatternClass> classes) {
    private static final double TOKENS_PER_EVENT = 46;

    private FleetProfile(
            String name,
            int daemons,
            int engines,
            EngineCost cost,
            ImmutableList<PatternClass> classes) {
        this(
                name,
                daemons,
                engines,
                cost,
                exchangeMillis(daemons),
                TOKENS_PER_EVENT,
                FleetTraits.NONE,
                classes);
    }

    /** Returns the interval between two exchanges of a daemon in an even fleet. */
    static long exchangeMillis(int daemons) {
        return ExchangeInterval.nextInterval(daemons, false).toMillis();
    }

    /** 134 daemons, most of them small, whose sums of work are 0.4 to 0.8 s old; 45 engines. */
    static FleetProfile uneven() {
        return uneven("uneven", exchangeMillis(134));
    }

    /** The same fleet if its sums were as recent as those of a few daemons. */
    static FleetProfile unevenFresh() {
        return uneven("uneven-fresh", exchangeMillis(1));
    }

    private static FleetProfile uneven(String name, long exchangeMillis) {
        return new FleetProfile(
                name,
                134,
                45,
                new EngineCost(8, 267_750, 57, 0.85, 0.0064, 0.00285, 177, 0.184, 2_048),
                exchangeMillis,
                57,
                new FleetTraits(false, true),
                ImmutableList.of(
                        new PatternClass(
                                "question", 45, 5_000, 0.7, 23_800, 32, 313, 250, 1.4, 0.34),
                        new PatternClass(
                                "review", 2.84, 45_000, 0.5, 110_000, 19, 1_520, 600, 3, 0.75),
                        new PatternClass(
                                "audit", 1.21, 220_000, 0.55, 1_000_000, 16, 4_035, 1_000, 26,
                                6.6)));
    }

    /** Four daemons and 16 engines. */
    static FleetProfile small() {
        return new FleetProfile(
                "small",
                4,
                16,
                new EngineCost(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048),
                ImmutableList.of(
                        new PatternClass(
                                "question", 24.6, 5_000, 0.9, 23_800, 35, 290, 195, 1.3, 0.33),
                        new PatternClass(
                                "review", 1.78, 45_000, 0.5, 110_000, 21, 1_480, 490, 3.1, 0.79),
                        new PatternClass(
                                "audit", 0.742, 210_000, 0.55, 1_000_000, 17, 2_950, 780, 22,
                                5.4)));
    }

    /** Thirty daemons and 54 engines. */
    static FleetProfile grown() {
        return new FleetProfile(
                "grown",
                30,
                54,
                new EngineCost(8, 450_000, 52, 0.925, 0.00483, 0.00254, 256, 0.0917, 2_048),
                ImmutableList.of(
                        new PatternClass(
                                "question", 64.5, 5_000, 0.9, 23_800, 33, 304, 200, 1.4, 0.34),
                        new PatternClass(
                                "review", 5.91, 45_000, 0.5, 110_000, 20, 1_506, 500, 2.6, 0.66),
                        new PatternClass(
                                "audit", 1.34, 300_000, 0.55, 1_000_000, 16, 4_010, 800, 30, 7.5)));
    }

    /** Thirty-eight daemons and 135 engines. */
    static FleetProfile large() {
        return new FleetProfile(
                "large",
                38,
                135,
                new EngineCost(7, 450_000, 73, 0.925, 0.00345, 0.00254, 256, 0.0917, 2_048),
                ImmutableList.of(
                        new PatternClass(
                                "question", 137, 5_000, 0.9, 23_800, 24, 304, 250, 1.4, 0.34),
                        new PatternClass(
                                "review", 14.6, 45_000, 0.5, 110_000, 15, 1_506, 600, 2.3, 0.58),
                        new PatternClass(
                                "audit", 3.35, 300_000, 0.55, 1_000_000, 12, 4_010, 1_000, 26,
                                6.6)));
    }

    /** Five daemons and 23 engines with slow prefill; long prompts take most of the time. */
    static FleetProfile desk() {
        return new FleetProfile(
                "desk",
                5,
                23,
                new EngineCost(11, 405_000, 34, 1.31, 0.00133, 0.00213, 154, 0.162, 2_048),
                ImmutableList.of(
                        new PatternClass(
                                "question", 32.2, 5_000, 0.9, 23_800, 38, 300, 250, 1.3, 0.33),
                        new PatternClass(
                                "review", 1.8, 45_000, 0.5, 110_000, 23, 1_500, 600, 3.9, 0.97),
                        new PatternClass(
                                "audit", 0.833, 182_000, 0.55, 1_000_000, 19, 3_000, 1_000, 24,
                                6.1)));
    }

    /** Thirty-three daemons and 78 engines with slow prefill. */
    static FleetProfile deskGrown() {
        return new FleetProfile(
                "desk-grown",
                33,
                78,
                new EngineCost(8, 405_000, 38, 1.31, 0.00138, 0.00213, 154, 0.162, 2_048),
                ImmutableList.of(
                        new PatternClass(
                                "question", 86.8, 5_000, 0.9, 23_800, 36, 304, 250, 1.3, 0.34),
                        new PatternClass(
                                "review", 6.08, 45_000, 0.5, 110_000, 21, 1_506, 600, 3.3, 0.82),
                        new PatternClass(
                                "audit", 1.52, 260_000, 0.55, 1_000_000, 18, 4_010, 1_000, 34,
                                8.6)));
    }
}
