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

/** Carries out orders; loads read the weight store, if there is one, and take their time. */
final class OrderCalls {
    private static final int CONFLICT = 409;

    private final Vertx mVertx;
    private final EngineSettings mSettings;
    private final EngineOrders mOrders;
    private final WebClient mClient;

    OrderCalls(Vertx vertx, EngineSettings settings, EngineOrders orders) {
        mVertx = vertx;
        mSettings = settings;
        mOrders = orders;
        mClient = WebClient.create(vertx);
    }

    void accept(RoutingContext context, boolean checksFencing) {
        OrderDocument order = Json.read(Json.body(context), OrderDocument.class);
        if (checksFencing) {
            Optional<OrderResultDocument> old = mOrders.checkToken(order);
            if (old.isPresent()) {
                Json.send(context, CONFLICT, old.get());
                return;
            }
        }
        prepare(order)
                .subscribe()
                .with(ready -> finish(context, order, ready), f -> finish(context, order, false));
    }

    private Uni<Boolean> prepare(OrderDocument order) {
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

    private Uni<Void> waitForLoad(boolean ready) {
        if (!ready) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom()
                .emitter(
                        e ->
                                mVertx.setTimer(
                                        Math.max(mSettings.loadTime().toMillis(), 1),
                                        id -> e.complete(null)));
    }

    private void finish(RoutingContext context, OrderDocument order, boolean ready) {
        if (ready) {
            mOrders.apply(order);
        }
        String reason = ready ? "" : "weights";
        Json.send(context, 200, new OrderResultDocument(ready, mOrders.highestToken(), reason));
    }
}
