package io.bilberrygrade.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that other threads or processes bring about. */
public final class Await {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private Await() {}

    /** Condition that is polled. */
    public interface Condition {
        /** Returns whether the condition holds. */
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; fails if it doesn't within 20 s. */
    public static void until(Condition condition) throws Exception {
        until(DEFAULT_TIMEOUT, condition);
    }

    /** Waits until the condition holds; fails if it doesn't within the timeout. */
    public static void until(Duration timeout, Condition condition) throws Exception {
        long deadline = System.nanoTime() + timeout.toNanos();
        boolean holds = condition.holds();
        while (!holds && System.nanoTime() < deadline) {
            LockSupport.parkNanos(POLL_NANOS);
            holds = condition.holds();
        }
        assertThat(holds).as("the condition holds within " + timeout).isTrue();
    }
}
