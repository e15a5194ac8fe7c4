package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.standins.load.CallerResult;
import java.time.Duration;
import java.util.Optional;

/**
 * What became of one arrival. Times count from when it was to arrive, so that a sender that falls
 * behind is not left out of them.
 */
record Sample(Arrival arrival, CallerResult result, Duration sendDelay) {
    Optional<Duration> timeToFirstToken() {
        return result.timeToFirstToken().map(sendDelay::plus);
    }

    Duration total() {
        return sendDelay.plus(result.total());
    }

    boolean inTime() {
        return total().compareTo(arrival.timeout()) <= 0;
    }
}
