package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderKind;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import io.bilberrygrade.standins.control.Json;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.Optional;

/**
 * Executes orders. A load reads the weight store, if there is one, and takes the configured load
 * time.
 */
final class OrderExecutor {
    private static final int CONFLICT = 409;

    private final Vertx mVertx;
    private final EngineSettings mSettings;
    private final EngineOrders mOrders;
    private final WebClient mClient;

    OrderExecutor(Vertx vertx, EngineSettings settings, EngineOrders orders) {
        mVertx = vertx;
        mSettings = settings;
        mOrders = orders;
        mClient = WebClient.create(vertx);
    }

    void execute(RoutingContext context, boolean checksFencing) {
        OrderDocument order = Json.read(Json.body(context), OrderDocument.class);
        if (checksFencing) {
            Optional<OrderResultDocument> refusal = mOrders.checkToken(order);
            if (refusal.isPresent()) {
                Json.send(context, CONFLICT, refusal.get());
                return;
            }
        }
        loadIfNeeded(order)
                .subscribe()
                .with(
                        succeeded -> finish(context, order, succeeded),
                        f -> finish(context, order, false));
    }

    private Uni<Boolean> loadIfNeeded(OrderDocument order) {
        if (order.kind() != OrderKind.LOAD_MODEL && order.kind() != OrderKind.LOAD_ADAPTER) {
            return Uni.createFrom().item(true);
        }
        return readWeights(order).onItem().call(this::waitForLoad);
    }

    private Uni<Boolean> readWeights(OrderDocument order) {
        if (mSettings.weights().isEmpty()) {
            return Uni.createFrom().item(true);
        }
        String name = order.kind() == OrderKind.LOAD_ADAPTER ? order.adapter() : order.model();
        String path = "/v1/weights/" + name + "/" + order.version();
        return mClient.getAbs(mSettings.weights().get() + path)
                .send()
                .map(r -> r.statusCode() == 200);
    }

    private Uni<Void> waitForLoad(boolean succeeded) {
        if (!succeeded) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom()
                .emitter(
                        e ->
                                mVertx.setTimer(
                                        Math.max(mSettings.loadTime().toMillis(), 1),
                                        id -> e.complete(null)));
    }

    private void finish(RoutingContext context, OrderDocument order, boolean succeeded) {
        if (succeeded) {
            mOrders.apply(order);
        }
        String reason = succeeded ? "" : "weights";
        Json.send(context, 200, new OrderResultDocument(succeeded, mOrders.highestToken(), reason));
    }
}
