package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;

/**
 * Chooses the engines that read parts of a long prompt. Load pattern: a part fills one pass of its
 * engine, so all that write there pause for as long. Many engines make the prompt early and their
 * writers late; few do the opposite. The choice is the one with the least loss, counted in tokens,
 * since the larger of two requests is worth more to those who wait for it.
 */
final class ReaderChoice {
    /** Most engines of a group: a first one and its helpers; from the engines' protocol. */
    private static final int MOST_READERS = 17;

    /** Least part, in milliseconds, that is worth another engine; some steps of an engine. */
    private static final double LEAST_PART_MILLIS = 40;

    /** Reading ahead on an engine, in milliseconds, with which it counts as about to be free. */
    private static final long MOST_AHEAD_MILLIS = 80;

    /** Pause, in milliseconds, that questions bear; their pause goal less a pass and the way. */
    private static final double QUESTION_PAUSE_MILLIS = 90;

    /** Pause, in milliseconds, that longer streams bear; the strictest of their pause goals. */
    private static final double STREAM_PAUSE_MILLIS = 400;

    /** Loss of a late question in tokens; it is worth about three times its share of tokens. */
    private static final double QUESTION_TOKENS = 15_000;

    /** Part of the goal that reading may use; the rest is for passes, waits and the way. */
    private static final double READING_PART_OF_GOAL = 0.6;

    /** Goals within which a prompt that will be late is read, by as few engines as can. */
    private static final double LATE_GOALS = 2;

    private ReaderChoice() {}

    /**
     * Returns the engines. Two orders are tried: engines without questions first, and engines that
     * are about to be free first.
     */
    static ImmutableList<Candidate> readers(
            StreamNeed need, double millis, ImmutableList<Candidate> candidates) {
        Comparator<Candidate> byStake =
                Comparator.comparing(ReaderChoice::busy)
                        .thenComparing(ReaderChoice::stake)
                        .thenComparing(c -> c.work().readMillis());
        Comparator<Candidate> unaskedFirst =
                Comparator.comparing((Candidate c) -> c.work().strictCalls() > 0)
                        .thenComparing(byStake);
        Choice unasked = choose(need, millis, sorted(unaskedFirst, candidates));
        Choice free = choose(need, millis, sorted(byStake, candidates));
        return unasked.loss() <= free.loss() ? unasked.readers() : free.readers();
    }

    private static ImmutableList<Candidate> sorted(
            Comparator<Candidate> order, ImmutableList<Candidate> candidates) {
        return ImmutableList.sortedCopyOf(order, candidates);
    }

    /** Returns the first engines of an order, as many as lose the least, and more if as little. */
    private static Choice choose(StreamNeed need, double millis, ImmutableList<Candidate> sorted) {
        double goal = need.goal().toMillis();
        double own = (double) need.prompt().promptTokens();
        int most = Math.min(sorted.size(), worthwhile(millis));
        Choice best = new Choice(sorted, Double.MAX_VALUE);
        long waiting = 0;
        for (int count = 1; count <= most; count++) {
            waiting = Math.max(waiting, sorted.get(count - 1).work().readMillis());
            ImmutableList<Candidate> readers = sorted.subList(0, count);
            double part = millis / count;
            double end = waiting + part;
            boolean late = end > goal * READING_PART_OF_GOAL;
            double loss =
                    harm(readers, part) + (late ? own : 0) + (end > goal * LATE_GOALS ? own : 0);
            if (loss < best.loss() || (loss == best.loss() && !late)) {
                best = new Choice(readers, loss);
            }
        }
        return best;
    }

    private static boolean busy(Candidate c) {
        return c.work().readMillis() > MOST_AHEAD_MILLIS;
    }

    private static int worthwhile(double millis) {
        return (int) Math.min(MOST_READERS, Math.max(1, Math.ceil(millis / LEAST_PART_MILLIS)));
    }

    /** Returns what is lost on an engine if a long part is read there. */
    private static double stake(Candidate c) {
        return c.work().strictCalls() * QUESTION_TOKENS + streamTokens(c);
    }

    private static double streamTokens(Candidate c) {
        return c.work().writers() > 0 ? (double) c.work().tokens() : 0;
    }

    private static double harm(ImmutableList<Candidate> readers, double part) {
        double harm = 0;
        for (Candidate c : readers) {
            harm += part > QUESTION_PAUSE_MILLIS ? c.work().strictCalls() * QUESTION_TOKENS : 0;
            harm += part > STREAM_PAUSE_MILLIS ? streamTokens(c) : 0;
        }
        return harm;
    }

    private record Choice(ImmutableList<Candidate> readers, double loss) {}
}
