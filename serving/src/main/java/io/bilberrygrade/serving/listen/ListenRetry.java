package io.bilberrygrade.serving.listen;

import java.net.BindException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether a daemon tries again to listen at an address that it couldn't bind. A predecessor
 * that is still stopping holds its ports, and an outgoing connection of any process may have a port
 * as its local one.
 *
 * @param end time after which no further try is made
 */
record ListenRetry(Instant end) {
    /** Time between two tries. */
    static final Duration INTERVAL = Duration.ofMillis(100);

    /** Returns the time until the next try, or empty if the failure is final. */
    Optional<Duration> delay(Throwable failure, Instant now) {
        boolean again = failure instanceof BindException && !now.plus(INTERVAL).isAfter(end);
        return again ? Optional.of(INTERVAL) : Optional.empty();
    }
}
