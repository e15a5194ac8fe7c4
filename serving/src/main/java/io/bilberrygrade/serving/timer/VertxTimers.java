package io.bilberrygrade.serving.timer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Timers that fire on the event loop from which they were started, so that what they trigger needs
 * no lock.
 */
public final class VertxTimers implements Timers {
    private final Vertx mVertx;

    /** Creates timers on the given Vert.x instance. */
    public VertxTimers(Vertx vertx) {
        mVertx = vertx;
    }

    @Override
    public Uni<Void> after(Duration delay) {
        long millis = Math.max(1, delay.toMillis());
        return Uni.createFrom()
                .emitter(
                        e -> {
                            long id = mVertx.setTimer(millis, t -> e.complete(null));
                            e.onTermination(() -> mVertx.cancelTimer(id));
                        });
    }
}
