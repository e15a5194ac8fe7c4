package io.bilberrygrade.standins.service;

import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.control.Json;
import io.bilberrygrade.standins.control.StandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in plain service that counts the runs of each call, so that duplicates can be detected. */
public final class StandInService extends StandIn<ServiceFaults> {
    private final Map<String, Integer> mRuns = new LinkedHashMap<>();
    private final Map<String, CallResult> mResults = new LinkedHashMap<>();
    private long mSerial;

    private StandInService(Address address) {
        super(address, ServiceFaults.class, ServiceFaults.none());
    }

    /** Starts a service and returns it when it listens. */
    public static Uni<StandInService> start(Vertx vertx, Address address) {
        return deploy(vertx, new StandInService(address));
    }

    @Override
    protected void addCalls(Router router) {
        router.post("/call/:operation").handler(this::call);
    }

    @Override
    protected void addControls(Router router) {
        router.get("/runs").handler(c -> Json.send(c, 200, runs()));
    }

    private void call(RoutingContext context) {
        if (!faults().refuseWith().isEmpty()) {
            Json.send(context, 409, new RefusalDocument(faults().refuseWith()));
            return;
        }
        CallResult result = run(context);
        if (faults().cutBeforeAnswer()) {
            context.request().connection().closeAndForget();
            return;
        }
        Json.send(context, 200, result);
    }

    private CallResult run(RoutingContext context) {
        String key = context.request().getHeader(EndpointHeaders.IDEMPOTENCY_KEY);
        if (key == null) {
            return next(context);
        }
        if (faults().dedupe() && mResults.containsKey(key)) {
            return mResults.get(key);
        }
        mRuns.merge(key, 1, Integer::sum);
        CallResult result = next(context);
        mResults.put(key, result);
        return result;
    }

    private CallResult next(RoutingContext context) {
        mSerial++;
        return new CallResult(context.pathParam("operation"), mSerial);
    }

    private List<RunCount> runs() {
        return mRuns.entrySet().stream().map(e -> new RunCount(e.getKey(), e.getValue())).toList();
    }
}
