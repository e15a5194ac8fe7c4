package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the engines that take short questions. Load pattern: many daemons place questions at once
 * and hear of each other's choices a tenth of a second later. The number of questions in all
 * changes little meanwhile, so that all daemons come to nearly the same engines from it; what each
 * engine has just got, they don't know.
 */
final class QuestionEngines {
    /**
     * Questions for each slot of an engine, which leaves room for those that arrive before a daemon
     * hears of others; 0.7 to 0.9 were measured with the load patterns.
     */
    private static final double QUESTIONS_PER_SLOT = 0.7;

    /** Most of the engines that questions may take, so that long prompts are read at a peak too. */
    private static final double MOST_PART = 0.85;

    /** Reading, in milliseconds, beside which a question still has its first event in time. */
    private static final double MOST_READING_MILLIS = 60;

    private QuestionEngines() {}

    /** Returns as many engines as carry the questions and one more, the first by their ids. */
    static ImmutableSet<EndpointId> of(EngineCost cost, List<Candidate> candidates) {
        int questions = candidates.stream().mapToInt(c -> c.work().strictCalls()).sum();
        int wanted = (int) Math.ceil((questions + 1) / (QUESTIONS_PER_SLOT * cost.slots()));
        int most = (int) Math.ceil(candidates.size() * MOST_PART);
        return candidates.stream()
                .filter(c -> c.work().readMillis() <= MOST_READING_MILLIS)
                .map(c -> c.endpoint().id())
                .sorted(Comparator.comparing(EndpointId::value))
                .limit(Math.min(wanted, most))
                .collect(ImmutableSet.toImmutableSet());
    }
}
