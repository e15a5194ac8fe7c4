package io.bilberrygrade.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that come about on other threads or in other processes. */
public final class Await {
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private Await() {}

    /** Condition that is polled. */
    public interface Condition {
        /** Returns whether it has come about. */
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; fails when it doesn't within 20 s. */
    public static void until(Condition condition) throws Exception {
        until(BOUND, condition);
    }

    /** Waits until the condition holds; fails when it doesn't within the bound. */
    public static void until(Duration bound, Condition condition) throws Exception {
        long end = System.nanoTime() + bound.toNanos();
        boolean holds = condition.holds();
        while (!holds && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_NANOS);
            holds = condition.holds();
        }
        assertThat(holds).as("the condition came about within " + bound).isTrue();
    }
}
