package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.standins.load.CallerResult;
import java.time.Duration;
import java.util.Optional;

/**
 * Result of one arrival. Times count from the scheduled arrival, so that they include the delay of
 * a sender that falls behind.
 */
record Sample(Arrival arrival, CallerResult result, Duration sendDelay) {
    Optional<Duration> timeToFirstToken() {
        return result.timeToFirstToken().map(sendDelay::plus);
    }

    Duration total() {
        return sendDelay.plus(result.total());
    }

    boolean isInTime() {
        return total().compareTo(arrival.timeout()) <= 0;
    }
}
