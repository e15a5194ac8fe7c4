package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.error.Delivery;
import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of a request that are in flight: one, or two while a silent endpoint's attempt is
 * kept until its replacement is answered.
 */
final class AttemptsInFlight {
    private static final int MAX_ATTEMPTS = 2;

    private final List<Attempt> mAttempts = new ArrayList<>();

    void add(Attempt attempt) {
        mAttempts.add(attempt);
    }

    /** Removes an attempt that has ended; returns whether the request goes on without it. */
    boolean endOne(Attempt attempt) {
        mAttempts.remove(attempt);
        mAttempts.forEach(Attempt::watchForSilence);
        return !mAttempts.isEmpty();
    }

    /** Returns whether another attempt may be added. */
    boolean hasRoom() {
        return mAttempts.size() < MAX_ATTEMPTS;
    }

    /** Returns whether an endpoint may have started to run the request. */
    boolean mayHaveRun() {
        return mAttempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Cancels all attempts but the given one. */
    void keepOnly(Attempt attempt) {
        ImmutableList.copyOf(mAttempts).stream()
                .filter(a -> a != attempt)
                .forEach(
                        a -> {
                            mAttempts.remove(a);
                            a.cancel();
                        });
    }

    void cancelAll() {
        ImmutableList<Attempt> attempts = ImmutableList.copyOf(mAttempts);
        mAttempts.clear();
        attempts.forEach(Attempt::cancel);
    }

    /** An attempt at an endpoint, or through a peer. */
    interface Attempt {
        /** Returns whether an endpoint may have started to run the request. */
        boolean mayHaveRun();

        /** Records in the request's history that the attempt failed. */
        default void recordFailed(AttemptHistory history, Delivery delivery) {
            if (delivery == Delivery.NOT_DELIVERED) {
                history.recordNotDelivered();
            }
        }

        /** Watches for a silence again, unless the attempt has ended. */
        void watchForSilence();

        /** Cancels the attempt; the endpoint stops when it detects that the connection closed. */
        void cancel();
    }
}
