package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;

/**
 * Selects the engines that prefill parts of a long prompt. A part occupies one pass of its engine,
 * so all streams that decode there stall for as long. More engines finish the prompt earlier but
 * delay more streams. The selection minimizes the loss, counted in tokens, since a larger request
 * is worth more to its caller.
 */
final class PrefillEngineSelector {
    /**
     * Maximum number of engines for a prompt: the first one and its helpers; from the engines'
     * protocol.
     */
    private static final int MAX_ENGINES = 17;

    /**
     * Minimum prefill time of a part, in milliseconds, that justifies another engine; equals some
     * steps of an engine.
     */
    private static final double MIN_PART_MILLIS = 40;

    /** Maximum queued prefill, in milliseconds, with which an engine counts as nearly idle. */
    private static final long MAX_QUEUED_MILLIS = 80;

    /**
     * Gap between events, in milliseconds, that strict streams tolerate: their gap goal minus the
     * time of a pass and of the network.
     */
    private static final double STRICT_GAP_MILLIS = 90;

    /**
     * Gap between events, in milliseconds, that all other streams tolerate: the strictest of their
     * gap goals.
     */
    private static final double OTHER_GAP_MILLIS = 400;

    /** Loss for a late strict stream, in tokens; about three times its share of the tokens. */
    private static final double STRICT_STREAM_TOKENS = 15_000;

    /**
     * Fraction of the goal available for prefill; the rest covers passes, queueing and the network.
     */
    private static final double MAX_PREFILL_FRACTION = 0.6;

    /**
     * Multiple of the goal within which a prompt that misses its goal is still prefilled, by as few
     * engines as possible.
     */
    private static final double MAX_OVERRUN_FACTOR = 2;

    private PrefillEngineSelector() {}

    /**
     * Returns the engines with the lower loss of two candidate orders: engines without strict
     * streams first, and nearly idle engines first.
     */
    static ImmutableList<Candidate> engines(
            StreamNeed need, double prefillMillis, ImmutableList<Candidate> candidates) {
        Comparator<Candidate> byPotentialLoss =
                Comparator.comparing(PrefillEngineSelector::isBusy)
                        .thenComparing(PrefillEngineSelector::potentialLoss)
                        .thenComparing(c -> c.work().readMillis());
        Comparator<Candidate> withoutStrictFirst =
                Comparator.comparing((Candidate c) -> c.work().strictCalls() > 0)
                        .thenComparing(byPotentialLoss);
        Selection withoutStrict =
                select(need, prefillMillis, sorted(withoutStrictFirst, candidates));
        Selection nearlyIdle = select(need, prefillMillis, sorted(byPotentialLoss, candidates));
        return withoutStrict.loss() <= nearlyIdle.loss()
                ? withoutStrict.engines()
                : nearlyIdle.engines();
    }

    private static ImmutableList<Candidate> sorted(
            Comparator<Candidate> order, ImmutableList<Candidate> candidates) {
        return ImmutableList.sortedCopyOf(order, candidates);
    }

    /**
     * Returns the prefix of the order with the least loss; of equal losses, the longest one that
     * meets the goal.
     */
    private static Selection select(
            StreamNeed need, double prefillMillis, ImmutableList<Candidate> sorted) {
        double goalMillis = need.goal().toMillis();
        double promptTokens = (double) need.prompt().promptTokens();
        int max = Math.min(sorted.size(), maxUsefulEngines(prefillMillis));
        Selection best = new Selection(sorted, Double.MAX_VALUE);
        long queuedMillis = 0;
        for (int count = 1; count <= max; count++) {
            queuedMillis = Math.max(queuedMillis, sorted.get(count - 1).work().readMillis());
            ImmutableList<Candidate> engines = sorted.subList(0, count);
            double partMillis = prefillMillis / count;
            double endMillis = queuedMillis + partMillis;
            boolean isLate = endMillis > goalMillis * MAX_PREFILL_FRACTION;
            double loss =
                    gapLoss(engines, partMillis)
                            + (isLate ? promptTokens : 0)
                            + (endMillis > goalMillis * MAX_OVERRUN_FACTOR ? promptTokens : 0);
            if (loss < best.loss() || (loss == best.loss() && !isLate)) {
                best = new Selection(engines, loss);
            }
        }
        return best;
    }

    private static boolean isBusy(Candidate c) {
        return c.work().readMillis() > MAX_QUEUED_MILLIS;
    }

    private static int maxUsefulEngines(double prefillMillis) {
        return (int) Math.min(MAX_ENGINES, Math.max(1, Math.ceil(prefillMillis / MIN_PART_MILLIS)));
    }

    /** Returns the loss on an engine if a long part is prefilled there. */
    private static double potentialLoss(Candidate c) {
        return c.work().strictCalls() * STRICT_STREAM_TOKENS + decodingTokens(c);
    }

    private static double decodingTokens(Candidate c) {
        return c.work().writers() > 0 ? (double) c.work().tokens() : 0;
    }

    private static double gapLoss(ImmutableList<Candidate> engines, double partMillis) {
        double gapLoss = 0;
        for (Candidate c : engines) {
            gapLoss +=
                    partMillis > STRICT_GAP_MILLIS
                            ? c.work().strictCalls() * STRICT_STREAM_TOKENS
                            : 0;
            gapLoss += partMillis > OTHER_GAP_MILLIS ? decodingTokens(c) : 0;
        }
        return gapLoss;
    }

    private record Selection(ImmutableList<Candidate> engines, double loss) {}
}
