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
 * Asks engines whether they still answer. All requests that wait for one engine share one probe, so
 * that a full engine isn't burdened by those who wait for it.
 */
public final class EngineProbes {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ModelEngine mEngine;
    private final Timers mTimers;
    private final Map<EndpointId, Probe> mProbes = new HashMap<>();

    /** Creates the probes over a client of engines. */
    public EngineProbes(ModelEngine engine, Timers timers) {
        mEngine = engine;
        mTimers = timers;
    }

    /** Returns whether the engine answers; a probe of the last second is shared. */
    public Uni<Boolean> answers(Endpoint engine, Instant now) {
        mProbes.values().removeIf(p -> !now.isBefore(p.mStart.plus(TIMEOUT)));
        return mProbes.computeIfAbsent(engine.id(), id -> new Probe(now, start(engine))).mAnswer;
    }

    private Uni<Boolean> start(Endpoint engine) {
        Uni<Boolean> answer =
                mEngine.load(engine)
                        .replaceWith(true)
                        .onFailure(CallException.class)
                        .recoverWithItem(false);
        Uni<Boolean> timeout = mTimers.after(TIMEOUT).replaceWith(false);
        return Uni.join().first(answer, timeout).toTerminate().memoize().indefinitely();
    }

    private static final class Probe {
        private final Instant mStart;
        private final Uni<Boolean> mAnswer;

        private Probe(Instant start, Uni<Boolean> answer) {
            mStart = start;
            mAnswer = answer;
        }
    }
}
