package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.LoadedModel;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderResultDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Models and role that orders have set on an engine, with the fencing check of orders. */
final class EngineOrders {
    private final List<LoadedModel> mModels = new ArrayList<>();
    private String mRole = "mixed";
    private long mHighestToken;

    EngineOrders(List<String> models) {
        models.forEach(m -> mModels.add(new LoadedModel(m, null, 1)));
    }

    /**
     * Returns the refusal of an order with an outdated fencing token; otherwise records the token.
     */
    Optional<OrderResultDocument> checkToken(OrderDocument order) {
        if (order.fencingToken() < mHighestToken) {
            return Optional.of(new OrderResultDocument(false, mHighestToken, "fencing"));
        }
        mHighestToken = order.fencingToken();
        return Optional.empty();
    }

    void apply(OrderDocument order) {
        switch (order.kind()) {
            case LOAD_MODEL -> load(order.model(), null, order.version());
            case LOAD_ADAPTER -> load(order.model(), order.adapter(), order.version());
            case UNLOAD_MODEL -> mModels.removeIf(m -> m.model().equals(order.model()));
            case SET_ROLE -> mRole = order.role();
        }
    }

    private void load(String model, String adapter, long version) {
        mModels.removeIf(m -> m.model().equals(model) && Objects.equals(m.adapter(), adapter));
        mModels.add(new LoadedModel(model, adapter, version));
    }

    /** Returns whether a model or adapter of this name is loaded. */
    boolean hasLoaded(String name) {
        return mModels.stream().anyMatch(m -> m.model().equals(name) || name.equals(m.adapter()));
    }

    List<LoadedModel> models() {
        return List.copyOf(mModels);
    }

    String role() {
        return mRole;
    }

    long highestToken() {
        return mHighestToken;
    }
}
