package io.bilberrygrade.serving.error;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Runs the steps of one request, which follow each other in callbacks, and handles what they throw.
 * Otherwise an exception in a callback would be logged only, and the request would wait.
 */
public final class ErrorGuard {
    private Consumer<Throwable> mOnError =
            e -> {
                throw new IllegalStateException(e);
            };

    /** Registers what ends the request after an error; replaces the action before. */
    public void onError(Consumer<Throwable> action) {
        mOnError = action;
    }

    /** Runs a step. */
    public void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            mOnError.accept(e);
        }
    }

    /** Returns a callback that runs a step. */
    public Runnable wrap(Runnable step) {
        return () -> run(step);
    }

    /** Returns a condition that is also true after an error. */
    public <T> Predicate<T> wrapCondition(Predicate<T> condition) {
        return value -> {
            try {
                return condition.test(value);
            } catch (RuntimeException e) {
                mOnError.accept(e);
                return true;
            }
        };
    }

    /** Runs a step with the item of an operation; an operation that fails is an error. */
    public <T> Cancellable subscribe(Uni<T> operation, Consumer<T> step) {
        return operation.subscribe().with(i -> run(() -> step.accept(i)), mOnError);
    }
}
