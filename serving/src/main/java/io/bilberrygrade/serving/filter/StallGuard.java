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
 * Gives up on an attempt whose engine is silent and doesn't answer probes either. A long prefill is
 * silent too, so that silence alone says nothing before the first token.
 */
public final class StallGuard {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final Duration SUSPICIOUS_SILENCE = Duration.ofSeconds(1);
    private static final Duration MAX_TOKEN_GAP = Duration.ofSeconds(5);
    private static final int MAX_FAILED_PROBES = 2;

    private final EngineProbes mProbes;
    private final Timers mTimers;
    private final InstantSource mClock;

    /** Creates the guard. */
    public StallGuard(EngineProbes probes, Timers timers, InstantSource clock) {
        mProbes = probes;
        mTimers = timers;
        mClock = clock;
    }

    /** Returns the answer, or a failure when the engine has stopped working on it. */
    <T> Uni<T> guard(Endpoint engine, Heartbeat heartbeat, Uni<T> answer) {
        Uni<T> stalled =
                Uni.createFrom()
                        .deferred(() -> check(engine, heartbeat))
                        .repeat()
                        .whilst(healthy -> healthy)
                        .collect()
                        .last()
                        .onItem()
                        .transformToUni(healthy -> Uni.createFrom().failure(failure(engine)));
        return Uni.join().first(answer, stalled).toTerminate();
    }

    private Uni<Boolean> check(Endpoint engine, Heartbeat heartbeat) {
        return mTimers.after(CHECK_INTERVAL).onItem().transformToUni(v -> judge(engine, heartbeat));
    }

    private Uni<Boolean> judge(Endpoint engine, Heartbeat heartbeat) {
        Duration silence = heartbeat.silence(mClock.instant());
        if (silence.compareTo(SUSPICIOUS_SILENCE) < 0) {
            heartbeat.probed(true);
            return Uni.createFrom().item(true);
        }
        if (heartbeat.decoding() && silence.compareTo(MAX_TOKEN_GAP) > 0) {
            return Uni.createFrom().item(false);
        }
        return mProbes.answers(engine, mClock.instant())
                .map(alive -> heartbeat.probed(alive) < MAX_FAILED_PROBES);
    }

    private static CallException failure(Endpoint engine) {
        return new CallException(
                Step.RELAY,
                engine.id().value(),
                Delivery.MAY_HAVE_RUN,
                "the engine doesn't answer");
    }
}
