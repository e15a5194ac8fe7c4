package io.bilberrygrade.serving.time;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;

/** Timers of the event loop on which they are started. */
public final class VertxTimers implements Timers {
    private final Vertx mVertx;

    /** Creates the timers. */
    public VertxTimers(Vertx vertx) {
        mVertx = vertx;
    }

    @Override
    public Uni<Void> after(Duration delay) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            long millis = Math.max(1, delay.toMillis());
                            long timer = mVertx.setTimer(millis, t -> e.complete(null));
                            e.onTermination(() -> mVertx.cancelTimer(timer));
                        });
    }
}
