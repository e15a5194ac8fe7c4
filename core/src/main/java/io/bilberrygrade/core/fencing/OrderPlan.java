package io.bilberrygrade.core.fencing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.Model;
import io.bilberrygrade.core.fencing.EngineReport.Loaded;
import io.bilberrygrade.core.identity.ModelId;
import java.util.Objects;
import java.util.Optional;

/**
 * Computes the orders that bring an engine from its reported state to the published one. It is a
 * pure function of both, so that it doesn't matter which daemon issues the orders, or how often.
 */
public final class OrderPlan {
    private final EndpointKind.Engine mEngine;
    private final EngineReport mReport;
    private final ImmutableList.Builder<Order> mOrders = ImmutableList.builder();

    private OrderPlan(EndpointKind.Engine engine, EngineReport report) {
        mEngine = engine;
        mReport = report;
    }

    /** Returns the missing orders, in the sequence in which they must be issued. */
    public static ImmutableList<Order> missing(
            Deployment deployment, EndpointKind.Engine engine, EngineReport report) {
        return new OrderPlan(engine, report).plan(deployment);
    }

    private ImmutableList<Order> plan(Deployment deployment) {
        if (!mReport.role().equals(mEngine.role()) || hasStaleToken(deployment)) {
            mOrders.add(new Order.SetRole(mEngine.role()));
        }
        mEngine.models().stream()
                .map(deployment.models()::get)
                .filter(Objects::nonNull)
                .forEach(this::addLoadOrders);
        mReport.loaded().stream()
                .filter(l -> l.adapter().isEmpty() && !mEngine.models().contains(l.model()))
                .forEach(l -> mOrders.add(new Order.UnloadModel(l.model())));
        return mOrders.build();
    }

    /**
     * Returns whether the engine hasn't seen this version's token. An order that changes nothing
     * then passes it the token, which daemons read back after all of them have restarted.
     */
    private boolean hasStaleToken(Deployment deployment) {
        return mEngine.checksFencing() && mReport.highestToken() < deployment.version();
    }

    private void addLoadOrders(Model model) {
        if (!isLoaded(model.id(), Optional.empty(), model.version())) {
            mOrders.add(new Order.LoadModel(model.id(), model.version()));
        }
        model.adapters().stream()
                .filter(a -> !isLoaded(model.id(), Optional.of(a), model.version()))
                .forEach(a -> mOrders.add(new Order.LoadAdapter(model.id(), a, model.version())));
    }

    private boolean isLoaded(ModelId model, Optional<String> adapter, long version) {
        return mReport.loaded().contains(new Loaded(model, adapter, version));
    }
}
