package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.routing.EndpointLoad;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.wire.LoadDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Owns what this daemon knows of each endpoint: reported load, own dispatches and failures. */
public final class EndpointController {
    private static final Duration EJECTION = Duration.ofSeconds(2);

    private final Map<EndpointId, State> mStates = new HashMap<>();
    private Optional<LeavingController> mLeaving = Optional.empty();

    /** Leaves out endpoints that are leaving, which their refusals tell. */
    public void attach(LeavingController leaving) {
        mLeaving = Optional.of(leaving);
    }

    private boolean leaving(EndpointId endpoint, Instant now) {
        return mLeaving.map(l -> l.leaving(endpoint, now)).orElse(false);
    }

    /** Passes on why an endpoint has refused a call, if it gave a reason. */
    public void refused(EndpointId endpoint, CallException refusal, Instant now) {
        refusal.refusal().ifPresent(r -> mLeaving.ifPresent(l -> l.refused(endpoint, r, now)));
    }

    /** Drops what is known of endpoints that a new configuration no longer has. */
    public void onDeployment(Deployment deployment) {
        mStates.keySet().retainAll(deployment.endpoints().keySet());
    }

    /** Returns the engines that serve a model, as this daemon sees them. */
    public EngineFleet fleet(Deployment deployment, ModelId model) {
        return new ModelFleet(deployment.enginesOf(model));
    }

    /** Returns the view of one endpoint. */
    public EndpointView view(Endpoint endpoint, Instant now) {
        State state = state(endpoint.id());
        boolean available = !now.isBefore(state.mEjectedUntil) && !leaving(endpoint.id(), now);
        return new EndpointView(
                endpoint, state.mLoad, state.mOwnRequests, state.mOwnQueuedTokens, available);
    }

    /** Counts a request that is sent to an endpoint. */
    public void dispatched(EndpointId endpoint, long promptTokens) {
        State state = state(endpoint);
        state.mOwnRequests++;
        state.mOwnQueuedTokens += promptTokens;
    }

    /** Counts a request whose prompt has been prefilled. */
    public void firstToken(EndpointId endpoint, long promptTokens) {
        state(endpoint).mOwnQueuedTokens -= promptTokens;
    }

    /** Counts a request that has left an endpoint. */
    public void finished(EndpointId endpoint) {
        state(endpoint).mOwnRequests--;
    }

    /** Takes an endpoint out of use for a while after a failure. */
    public void failed(EndpointId endpoint, Instant now) {
        state(endpoint).mEjectedUntil = now.plus(EJECTION);
    }

    /** Takes over a load report. */
    public void loadReported(EndpointId endpoint, LoadDocument load, Instant now) {
        Instant measured = now.minusMillis(load.ageMillis());
        state(endpoint).mLoad =
                Optional.of(
                        new EndpointLoad(
                                load.queuedTokens(),
                                load.queuedShortTokens(),
                                load.runningRequests(),
                                load.freeTokens(),
                                measured));
    }

    private State state(EndpointId id) {
        return mStates.computeIfAbsent(id, i -> new State());
    }

    private final class ModelFleet implements EngineFleet {
        private final ImmutableList<Endpoint> mEngines;

        ModelFleet(ImmutableList<Endpoint> engines) {
            mEngines = engines;
        }

        @Override
        public ImmutableList<Endpoint> engines() {
            return mEngines;
        }

        @Override
        public EndpointView view(Endpoint engine, Instant now) {
            return EndpointController.this.view(engine, now);
        }
    }

    private static final class State {
        private Optional<EndpointLoad> mLoad = Optional.empty();
        private int mOwnRequests;
        private long mOwnQueuedTokens;
        private Instant mEjectedUntil = Instant.MIN;
    }
}
