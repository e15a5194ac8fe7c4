package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.StreamNeed;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Class of requests with its published traffic and targets.
 *
 * @param meanArrivalsPerSecond mean arrivals per second at a rate factor of 1
 * @param meanTokens mean length of a prompt, log-normally distributed
 * @param logDeviation standard deviation of the logarithm of a prompt's length
 * @param events number of events of an answer
 * @param firstEventGoalMillis target of the time to the first event
 * @param gapGoalMillis target of the longest time between two events
 * @param worth worth of an answer in time; a late one is worth {@code lateWorth}
 */
record PatternClass(
        String name,
        double meanArrivalsPerSecond,
        double meanTokens,
        double logDeviation,
        long maxTokens,
        int events,
        double firstEventGoalMillis,
        double gapGoalMillis,
        double worth,
        double lateWorth) {
    private static final double MIN_SIZE_FACTOR = 0.3;
    private static final double MAX_SIZE_FACTOR = 4;

    /** Draws the length of a prompt in tokens from the log-normal distribution. */
    long tokens(UniformRandomProvider random) {
        double gaussian =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                        * Math.cos(2 * Math.PI * random.nextDouble());
        double drawn =
                meanTokens * Math.exp(logDeviation * gaussian - logDeviation * logDeviation / 2);
        return Math.min(maxTokens, Math.max(1, Math.round(drawn)));
    }

    StreamNeed need(long tokens) {
        return StreamNeed.of(
                new PromptShape(tokens, events),
                Duration.ofMillis(Math.round(firstEventGoalMillis)),
                Optional.of(Duration.ofMillis(Math.round(gapGoalMillis))));
    }

    /** Returns the worth of an answer, which grows with the length of its prompt. */
    double worth(long tokens, boolean inTime) {
        double sizeFactor =
                Math.min(
                        MAX_SIZE_FACTOR,
                        MIN_SIZE_FACTOR + (1 - MIN_SIZE_FACTOR) * tokens / meanTokens);
        return sizeFactor * (inTime ? worth : lateWorth);
    }
}
