package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.StreamNeed;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Class of requests with its traffic and targets, taken from a published sheet.
 *
 * @param perSecond mean arrivals at a factor of 1
 * @param worth of an answer in time; a late one is worth {@code lateWorth}
 */
record PatternClass(
        String name,
        double perSecond,
        double meanTokens,
        double spread,
        long maxTokens,
        int events,
        double goalMillis,
        double pauseMillis,
        double worth,
        double lateWorth) {
    private static final double FIXED_WORTH = 0.3;
    private static final double MOST_SIZE = 4;

    /** Draws the length of a prompt. */
    long tokens(UniformRandomProvider random) {
        double gauss =
                Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                        * Math.cos(2 * Math.PI * random.nextDouble());
        double drawn = meanTokens * Math.exp(spread * gauss - spread * spread / 2);
        return Math.min(maxTokens, Math.max(1, Math.round(drawn)));
    }

    StreamNeed need(long tokens) {
        return StreamNeed.of(
                new PromptShape(tokens, events),
                Duration.ofMillis(Math.round(goalMillis)),
                Optional.of(Duration.ofMillis(Math.round(pauseMillis))));
    }

    /** Returns the worth of an answer to a prompt of the given length; larger ones count more. */
    double worth(long tokens, boolean inTime) {
        double size = Math.min(MOST_SIZE, FIXED_WORTH + (1 - FIXED_WORTH) * tokens / meanTokens);
        return size * (inTime ? worth : lateWorth);
    }
}
