package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.EjectionBound;
import io.bilberrygrade.core.routing.EndpointHealth;
import io.bilberrygrade.core.routing.EndpointLoad;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.core.routing.PrefillRate;
import io.bilberrygrade.core.routing.PrefixIndex;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.serving.wire.LoadDocument;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Tracks the state of each endpoint: reported load, this daemon's requests in flight and failures.
 */
public final class EndpointController {
    private final InstanceId mSelf;
    private final PolicySettings mPolicy;
    private final PrefixIndex mPrefixes = new PrefixIndex();
    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();
    private final Map<EndpointId, EndpointHealth> mUnhealthy = new HashMap<>();
    private final Map<ModelId, ModelFleet> mFleets = new HashMap<>();
    private ImmutableSet<EndpointId> mEjected = ImmutableSet.of();
    private ImmutableList<ImmutableSet<EndpointId>> mPools = ImmutableList.of();
    private int mLiveDaemons = 1;
    private Optional<LeavingController> mLeaving = Optional.empty();

    /** Creates the controller of the daemon on the given instance. */
    public EndpointController(InstanceId self, PolicySettings policy) {
        mSelf = self;
        mPolicy = policy;
    }

    /** Excludes leaving endpoints from use and passes refusal reasons to the given controller. */
    public void setLeavingController(LeavingController leaving) {
        mLeaving = Optional.of(leaving);
    }

    private boolean isLeaving(EndpointId endpoint, Instant now) {
        return mLeaving.map(l -> l.isLeaving(endpoint, now)).orElse(false);
    }

    /** Reports the reason of a refusal, if the endpoint gave one, to the leaving controller. */
    public void reportRefusalReason(EndpointId endpoint, CallException refusal, Instant now) {
        refusal.refusal().ifPresent(r -> mLeaving.ifPresent(l -> l.refused(endpoint, r, now)));
    }

    /** Drops the state of endpoints and models that are no longer in the configuration. */
    public void onDeployment(Deployment deployment) {
        mStates.keySet().retainAll(deployment.endpoints().keySet());
        mUnhealthy.keySet().retainAll(deployment.endpoints().keySet());
        mFleets.keySet().retainAll(deployment.models().keySet());
        mPools = deployment.pools();
        recomputeEjected();
    }

    /**
     * Recomputes the values derived from all engines; {@code daemons} is the number of live
     * daemons.
     */
    public void recompute(int daemons, Instant now) {
        mLiveDaemons = daemons;
        mFleets.values().forEach(f -> f.refresh(daemons, now));
    }

    /** Returns the engines that serve a model. */
    public EngineFleet fleet(Deployment deployment, ModelId model, Instant now) {
        return modelFleet(deployment, model, now);
    }

    /**
     * Returns the engines whose load is polled: the watched ones of every model requested so far.
     */
    public ImmutableList<Endpoint> watched() {
        return mFleets.values().stream()
                .flatMap(f -> f.layout().watched().stream())
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the view of an endpoint that is independent of any model, as for a plain service. */
    public EndpointView view(Endpoint endpoint, Instant now) {
        return view(endpoint, PrefillRate.prior(PrefillRate.DEFAULT_TOKENS_PER_SECOND), now);
    }

    EndpointView view(Endpoint endpoint, PrefillRate prior, Instant now) {
        EndpointState state = state(endpoint.id());
        boolean healthy = !mEjected.contains(endpoint.id()) || state.health().available(now);
        boolean available = healthy && !isLeaving(endpoint.id(), now);
        return state.view(endpoint, available, prior, mLiveDaemons, now);
    }

    /**
     * Returns the total prefill rate of the engines in use that aren't ejected, in prompt tokens
     * per second.
     */
    public double capacity(Instant now) {
        Map<EndpointId, Double> rates = new HashMap<>();
        for (ModelFleet fleet : mFleets.values()) {
            fleet.layout().engines().stream()
                    .filter(e -> !mEjected.contains(e.id()))
                    .forEach(e -> rates.put(e.id(), fleet.view(e, now).rate().tokensPerSecond()));
        }
        return rates.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Records a request that is sent to an engine. */
    public Dispatch recordDispatch(
            Deployment deployment, ModelId model, Placement placement, Prompt prompt, Instant now) {
        Endpoint engine = placement.endpoint().endpoint();
        EndpointState state = state(engine.id());
        ModelFleet fleet = modelFleet(deployment, model, now);
        if (placement.lane() == Lane.LONG) {
            fleet.recordLongPrompt(prompt.tokens(), now);
        }
        int cached = mPrefixes.cachedTokens(engine.id(), prompt);
        long uncached = Math.max(1, prompt.tokens() - cached);
        double tokensAhead = placement.endpoint().backlog().ahead(placement.lane());
        long number = state.recordSent(placement.lane(), uncached, prompt.memoryTokens(), now);
        return new Dispatch(
                this,
                state,
                engine.id(),
                prompt,
                number,
                fleet.prior(),
                tokensAhead,
                uncached,
                now);
    }

    /** Records a call that is sent to an instance of a plain service. */
    public void recordDispatch(EndpointId endpoint, Instant now) {
        state(endpoint).recordSent(now);
    }

    /** Records the end of a call to an instance of a plain service. */
    public void finished(EndpointId endpoint) {
        state(endpoint).recordEnd();
    }

    /** Records a success, which ends the endpoint's ejection. */
    public void recordSuccess(EndpointId endpoint) {
        if (mUnhealthy.remove(endpoint) != null) {
            state(endpoint).setHealth(EndpointHealth.GOOD);
            recomputeEjected();
        }
    }

    /** Records a failure, which may eject the endpoint for a while. */
    public void failed(EndpointId endpoint, Instant now) {
        updateHealth(endpoint, h -> h.failed(now));
    }

    /** Records a refusal, which may eject the endpoint for a shorter while. */
    public void refused(EndpointId endpoint, Instant now) {
        updateHealth(endpoint, h -> h.refused(now));
    }

    /** Records a load report. */
    public void recordLoad(EndpointId endpoint, LoadDocument load, Instant now) {
        state(endpoint)
                .updateLoad(
                        new EndpointLoad(
                                load.queuedTokens(),
                                load.queuedShortTokens(),
                                load.runningRequests(),
                                load.freeTokens(),
                                now.minusMillis(load.ageMillis())));
    }

    /** Returns when the load of an endpoint was last reported or requested. */
    public Instant lastLoadUpdate(EndpointId endpoint) {
        return state(endpoint).loadRefreshedAt();
    }

    /** Records that the load of an endpoint is being requested. */
    public void recordLoadRequested(EndpointId endpoint, Instant now) {
        state(endpoint).recordLoadRequest(now);
    }

    /** Returns the index of the prefixes that engines are estimated to have cached. */
    public PrefixIndex prefixes() {
        return mPrefixes;
    }

    void recordPrefill(EndpointId engine, Prompt prompt) {
        mPrefixes.prefilled(engine, prompt);
    }

    double medianRate(ImmutableList<Endpoint> engines) {
        double[] rates =
                engines.stream()
                        .map(e -> state(e.id()).rate())
                        .flatMap(r -> r.stream())
                        .mapToDouble(PrefillRate::tokensPerSecond)
                        .sorted()
                        .toArray();
        return rates.length == 0 ? PrefillRate.DEFAULT_TOKENS_PER_SECOND : rates[rates.length / 2];
    }

    private ModelFleet modelFleet(Deployment deployment, ModelId model, Instant now) {
        ModelFleet known = mFleets.get(model);
        if (known != null && known.deployment().version() == deployment.version()) {
            return known;
        }
        boolean confined = mPolicy.isEnabled(Mechanism.CONFINEMENT);
        ModelFleet fleet = new ModelFleet(this, deployment, model, mSelf, confined, now);
        if (known != null) {
            fleet.inheritDemand(known, mLiveDaemons, now);
        }
        if (known == null || known.deployment().version() < deployment.version()) {
            mFleets.put(model, fleet);
        }
        return fleet;
    }

    private void updateHealth(
            EndpointId endpoint, Function<EndpointHealth, EndpointHealth> change) {
        if (mPolicy.isEnabled(Mechanism.EJECTION)) {
            EndpointState state = state(endpoint);
            state.setHealth(change.apply(state.health()));
            mUnhealthy.put(endpoint, state.health());
            recomputeEjected();
        }
    }

    private void recomputeEjected() {
        ImmutableMap<EndpointId, EndpointHealth> unhealthy = ImmutableMap.copyOf(mUnhealthy);
        mEjected =
                mPools.stream()
                        .flatMap(p -> EjectionBound.ejected(unhealthy, p).stream())
                        .collect(ImmutableSet.toImmutableSet());
    }

    private EndpointState state(EndpointId id) {
        return mStates.computeIfAbsent(id, i -> new EndpointState());
    }
}
