package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of a request that are in flight: one, or two while a silent endpoint's attempt is
 * kept until its replacement is answered.
 */
final class AttemptsInFlight {
    private static final int MAX_ATTEMPTS = 2;

    private final List<ForwardAttempt> mAttempts = new ArrayList<>();

    void add(ForwardAttempt attempt) {
        mAttempts.add(attempt);
    }

    /** Removes an attempt that has ended; returns whether the request goes on without it. */
    boolean endOne(ForwardAttempt attempt) {
        mAttempts.remove(attempt);
        mAttempts.forEach(ForwardAttempt::watchForSilence);
        return !mAttempts.isEmpty();
    }

    /** Returns whether another attempt may be added. */
    boolean hasRoom() {
        return mAttempts.size() < MAX_ATTEMPTS;
    }

    /** Returns whether an endpoint may have started to run the request. */
    boolean mayHaveRun() {
        return mAttempts.stream().anyMatch(ForwardAttempt::mayHaveRun);
    }

    /** Cancels all attempts but the given one. */
    void keepOnly(ForwardAttempt attempt) {
        ImmutableList.copyOf(mAttempts).stream()
                .filter(a -> a != attempt)
                .forEach(
                        a -> {
                            mAttempts.remove(a);
                            a.cancel();
                        });
    }

    void cancelAll() {
        ImmutableList<ForwardAttempt> attempts = ImmutableList.copyOf(mAttempts);
        mAttempts.clear();
        attempts.forEach(ForwardAttempt::cancel);
    }
}
