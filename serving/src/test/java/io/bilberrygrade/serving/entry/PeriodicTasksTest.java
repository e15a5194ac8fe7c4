package io.bilberrygrade.serving.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PeriodicTasksTest {
    private static final int RUNS = 6;
    private static final int FAILING_RUN = 2;

    private final Queue<Runnable> mTimers = new ArrayDeque<>();
    private final List<Event> mEvents = new ArrayList<>();
    private int mRuns;

    private Uni<Void> run(boolean throwing) {
        mRuns++;
        IllegalStateException fault = new IllegalStateException("once");
        if (mRuns == FAILING_RUN && throwing) {
            throw fault;
        }
        return mRuns == FAILING_RUN ? Uni.createFrom().failure(fault) : Uni.createFrom().voidItem();
    }

    // Guards against a task that never runs again after one failure, whether it throws or its Uni
    // fails.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failureDoesNotStopTheTask(boolean throwing) {
        Timers timers = delay -> Uni.createFrom().emitter(e -> mTimers.add(() -> e.complete(null)));
        PeriodicTasks tasks =
                new PeriodicTasks(timers, RandomSource.SPLIT_MIX_64.create(1L), mEvents::add);
        tasks.repeat("task", Duration.ofSeconds(1), () -> run(throwing));
        for (int i = 1; i < RUNS && !mTimers.isEmpty(); i++) {
            mTimers.remove().run();
        }
        assertThat(mRuns).isEqualTo(RUNS);
        assertThat(mTimers).hasSize(1);
        assertThat(mEvents)
                .containsExactly(
                        new LifecycleEvent.UnexpectedError(
                                "task", "java.lang.IllegalStateException: once"));
    }
}
