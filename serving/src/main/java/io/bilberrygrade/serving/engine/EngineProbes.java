package io.bilberrygrade.serving.engine;

import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Probes whether engines still answer. All requests that wait for an engine share one probe, so
 * that waiting requests add no load to a busy engine.
 */
public final class EngineProbes {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ModelEngine mEngine;
    private final Timers mTimers;
    private final Map<EndpointId, Probe> mProbes = new HashMap<>();

    /** Creates the probes, which read an engine's load through the given client. */
    public EngineProbes(ModelEngine engine, Timers timers) {
        mEngine = engine;
        mTimers = timers;
    }

    /**
     * Returns whether the engine answers; reuses a probe that was started within the last second.
     */
    public Uni<Boolean> isResponsive(Endpoint engine, Instant now) {
        mProbes.values().removeIf(p -> !now.isBefore(p.mStartedAt.plus(TIMEOUT)));
        return mProbes.computeIfAbsent(engine.id(), id -> new Probe(now, startProbe(engine)))
                .mAnswer;
    }

    private Uni<Boolean> startProbe(Endpoint engine) {
        Uni<Boolean> answer =
                mEngine.load(engine)
                        .replaceWith(true)
                        .onFailure(CallException.class)
                        .recoverWithItem(false);
        Uni<Boolean> timeout = mTimers.after(TIMEOUT).replaceWith(false);
        return Uni.join().first(answer, timeout).toTerminate().memoize().indefinitely();
    }

    private static final class Probe {
        private final Instant mStartedAt;
        private final Uni<Boolean> mAnswer;

        private Probe(Instant startedAt, Uni<Boolean> answer) {
            mStartedAt = startedAt;
            mAnswer = answer;
        }
    }
}
