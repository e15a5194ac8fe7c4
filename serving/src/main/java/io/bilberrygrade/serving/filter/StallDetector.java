package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.engine.EngineProbes;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Fails an attempt whose engine sends nothing and doesn't answer probes either. An engine is also
 * idle during a long prefill, so idle time alone doesn't indicate a stall before the first token.
 */
public final class StallDetector {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration PROBE_AFTER_IDLE = Duration.ofSeconds(1);
    private static final Duration MAX_TOKEN_GAP = Duration.ofSeconds(5);
    private static final int MAX_FAILED_PROBES = 2;

    private final EngineProbes mProbes;
    private final Timers mTimers;
    private final InstantSource mClock;

    /** Creates the guard. */
    public StallDetector(EngineProbes probes, Timers timers, InstantSource clock) {
        mProbes = probes;
        mTimers = timers;
        mClock = clock;
    }

    /** Returns the answer, or a failure if the engine has stalled. */
    <T> Uni<T> guard(Endpoint engine, EngineActivity activity, Uni<T> answer) {
        Uni<T> stalled =
                Uni.createFrom()
                        .deferred(() -> checkAfterInterval(engine, activity))
                        .repeat()
                        .whilst(healthy -> healthy)
                        .collect()
                        .last()
                        .onItem()
                        .transformToUni(healthy -> Uni.createFrom().failure(failure(engine)));
        return Uni.join().first(answer, stalled).toTerminate();
    }

    private Uni<Boolean> checkAfterInterval(Endpoint engine, EngineActivity activity) {
        return mTimers.after(CHECK_INTERVAL)
                .onItem()
                .transformToUni(v -> isHealthy(engine, activity));
    }

    private Uni<Boolean> isHealthy(Endpoint engine, EngineActivity activity) {
        Duration idleTime = activity.idleTime(mClock.instant());
        if (idleTime.compareTo(PROBE_AFTER_IDLE) < 0) {
            activity.recordProbe(true);
            return Uni.createFrom().item(true);
        }
        if (activity.isDecoding() && idleTime.compareTo(MAX_TOKEN_GAP) > 0) {
            return Uni.createFrom().item(false);
        }
        return mProbes.isResponsive(engine, mClock.instant())
                .map(alive -> activity.recordProbe(alive) < MAX_FAILED_PROBES);
    }

    private static CallException failure(Endpoint engine) {
        return new CallException(
                Step.RELAY,
                engine.id().value(),
                Delivery.MAY_HAVE_RUN,
                "the engine doesn't answer");
    }
}
