package io.bilberrygrade.standins.weights;

import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.control.Json;
import io.bilberrygrade.standins.control.StandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Stand-in weight store that limits the reads in any one second. */
public final class StandInWeightStore extends StandIn<WeightStoreFaults> {
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int TOO_MANY_REQUESTS = 429;

    private final Deque<Instant> mReadTimes = new ArrayDeque<>();
    private long mServed;
    private long mRefused;

    private StandInWeightStore(Address address, int rate) {
        super(address, WeightStoreFaults.class, WeightStoreFaults.none(rate));
    }

    /** Starts a store that allows {@code rate} reads a second. */
    public static Uni<StandInWeightStore> start(Vertx vertx, Address address, int rate) {
        return deploy(vertx, new StandInWeightStore(address, rate));
    }

    @Override
    protected void addCalls(Router router) {
        router.get("/v1/weights/:model/:version").handler(this::read);
    }

    @Override
    protected void addControls(Router router) {
        router.get("/calls").handler(c -> Json.send(c, 200, new ReadCounts(mServed, mRefused)));
    }

    private void read(RoutingContext context) {
        if (tryRead(now())) {
            mServed++;
            context.response().endAndForget("weights");
        } else {
            mRefused++;
            context.response()
                    .setStatusCode(TOO_MANY_REQUESTS)
                    .putHeader("Retry-After", "1")
                    .endAndForget();
        }
    }

    private boolean tryRead(Instant now) {
        while (!mReadTimes.isEmpty() && !mReadTimes.element().isAfter(now.minus(WINDOW))) {
            mReadTimes.remove();
        }
        if (mReadTimes.size() >= faults().rate()) {
            return false;
        }
        mReadTimes.add(now);
        return true;
    }
}
