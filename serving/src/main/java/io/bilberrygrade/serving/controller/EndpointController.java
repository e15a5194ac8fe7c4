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

/** Owns what this daemon knows of each endpoint: reported load, own dispatches and failures. */
public final class EndpointController {
    private final InstanceId mSelf;
    private final PolicySettings mPolicy;
    private final PrefixIndex mPrefixes = new PrefixIndex();
    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();
    private final Map<EndpointId, EndpointHealth> mFailing = new HashMap<>();
    private final Map<ModelId, ModelFleet> mFleets = new HashMap<>();
    private ImmutableSet<EndpointId> mEjected = ImmutableSet.of();
    private ImmutableList<ImmutableSet<EndpointId>> mPools = ImmutableList.of();
    private int mDaemons = 1;
    private Optional<LeavingController> mLeaving = Optional.empty();

    /** Creates the controller of the daemon on the given instance. */
    public EndpointController(InstanceId self, PolicySettings policy) {
        mSelf = self;
        mPolicy = policy;
    }

    /** Leaves out endpoints that are leaving, which their refusals tell. */
    public void attach(LeavingController leaving) {
        mLeaving = Optional.of(leaving);
    }

    private boolean leaving(EndpointId endpoint, Instant now) {
        return mLeaving.map(l -> l.leaving(endpoint, now)).orElse(false);
    }

    /** Passes on why an endpoint has refused a call, if it gave a reason. */
    public void noteRefusal(EndpointId endpoint, CallException refusal, Instant now) {
        refusal.refusal().ifPresent(r -> mLeaving.ifPresent(l -> l.refused(endpoint, r, now)));
    }

    /** Drops what is known of endpoints that a new configuration no longer has. */
    public void onDeployment(Deployment deployment) {
        mStates.keySet().retainAll(deployment.endpoints().keySet());
        mFailing.keySet().retainAll(deployment.endpoints().keySet());
        mFleets.keySet().retainAll(deployment.models().keySet());
        mPools = deployment.pools();
        eject();
    }

    /** Derives anew what depends on all engines; {@code daemons} counts the live ones. */
    public void renew(int daemons, Instant now) {
        mDaemons = daemons;
        mFleets.values().forEach(f -> f.renew(daemons, now));
    }

    /** Returns the engines that serve a model, as this daemon sees them. */
    public EngineFleet fleet(Deployment deployment, ModelId model, Instant now) {
        return modelFleet(deployment, model, now);
    }

    /** Returns the engines of all models that requests have asked for, which are to be watched. */
    public ImmutableList<Endpoint> watched() {
        return mFleets.values().stream()
                .flatMap(f -> f.layout().watched().stream())
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the view of one endpoint of which no model is known. */
    public EndpointView view(Endpoint endpoint, Instant now) {
        return view(endpoint, PrefillRate.prior(PrefillRate.DEFAULT_TOKENS_PER_SECOND), now);
    }

    EndpointView view(Endpoint endpoint, PrefillRate prior, Instant now) {
        EndpointState state = state(endpoint.id());
        boolean healthy = !mEjected.contains(endpoint.id()) || state.health().available(now);
        boolean available = healthy && !leaving(endpoint.id(), now);
        return state.view(endpoint, available, prior, mDaemons, now);
    }

    /** Returns the prompt tokens a second that all engines in use prefill together. */
    public double capacity(Instant now) {
        Map<EndpointId, Double> rates = new HashMap<>();
        for (ModelFleet fleet : mFleets.values()) {
            fleet.layout().engines().stream()
                    .filter(e -> !mEjected.contains(e.id()))
                    .forEach(e -> rates.put(e.id(), fleet.view(e, now).rate().tokensPerSecond()));
        }
        return rates.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Counts a request that is sent to an engine. */
    public Dispatch dispatched(
            Deployment deployment, ModelId model, Placement placement, Prompt prompt, Instant now) {
        Endpoint engine = placement.endpoint().endpoint();
        EndpointState state = state(engine.id());
        ModelFleet fleet = modelFleet(deployment, model, now);
        if (placement.lane() == Lane.LONG) {
            fleet.longArrived(prompt.tokens(), now);
        }
        int cached = mPrefixes.cachedTokens(engine.id(), prompt);
        long uncached = Math.max(1, prompt.tokens() - cached);
        double ahead = placement.endpoint().backlog().ahead(placement.lane());
        long number = state.sent(placement.lane(), uncached, prompt.memoryTokens(), now);
        return new Dispatch(
                this, state, engine.id(), prompt, number, fleet.prior(), ahead, uncached, now);
    }

    /** Counts a call that is sent to an instance of a plain service. */
    public void dispatched(EndpointId endpoint, Instant now) {
        state(endpoint).sent(now);
    }

    /** Counts a call that has left an instance of a plain service. */
    public void finished(EndpointId endpoint) {
        state(endpoint).ended();
    }

    /** Notes that an endpoint answered as it should, which ends its ejection. */
    public void succeeded(EndpointId endpoint) {
        if (mFailing.remove(endpoint) != null) {
            state(endpoint).setHealth(EndpointHealth.GOOD);
            eject();
        }
    }

    /** Takes an endpoint out of use for a while after a failure. */
    public void failed(EndpointId endpoint, Instant now) {
        degrade(endpoint, h -> h.failed(now));
    }

    /** Takes an endpoint out of use for a short while after it refused a request. */
    public void refused(EndpointId endpoint, Instant now) {
        degrade(endpoint, h -> h.refused(now));
    }

    /** Takes over a load report. */
    public void loadReported(EndpointId endpoint, LoadDocument load, Instant now) {
        state(endpoint)
                .report(
                        new EndpointLoad(
                                load.queuedTokens(),
                                load.queuedShortTokens(),
                                load.runningRequests(),
                                load.freeTokens(),
                                now.minusMillis(load.ageMillis())));
    }

    /** Returns when the load of an endpoint was last reported or asked for. */
    public Instant readAt(EndpointId endpoint) {
        return state(endpoint).readAt();
    }

    /** Notes that the load of an endpoint is being asked for. */
    public void reading(EndpointId endpoint, Instant now) {
        state(endpoint).reading(now);
    }

    /** Returns which prefixes engines are believed to have cached. */
    public PrefixIndex prefixes() {
        return mPrefixes;
    }

    void prefilled(EndpointId engine, Prompt prompt) {
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
        boolean confined = mPolicy.enabled(Mechanism.CONFINEMENT);
        ModelFleet fleet = new ModelFleet(this, deployment, model, mSelf, confined, now);
        if (known != null) {
            fleet.inherit(known, mDaemons, now);
        }
        if (known == null || known.deployment().version() < deployment.version()) {
            mFleets.put(model, fleet);
        }
        return fleet;
    }

    private void degrade(EndpointId endpoint, Function<EndpointHealth, EndpointHealth> change) {
        if (mPolicy.enabled(Mechanism.EJECTION)) {
            EndpointState state = state(endpoint);
            state.setHealth(change.apply(state.health()));
            mFailing.put(endpoint, state.health());
            eject();
        }
    }

    private void eject() {
        ImmutableMap<EndpointId, EndpointHealth> failing = ImmutableMap.copyOf(mFailing);
        mEjected =
                mPools.stream()
                        .flatMap(p -> EjectionBound.ejected(failing, p).stream())
                        .collect(ImmutableSet.toImmutableSet());
    }

    private EndpointState state(EndpointId id) {
        return mStates.computeIfAbsent(id, i -> new EndpointState());
    }
}
