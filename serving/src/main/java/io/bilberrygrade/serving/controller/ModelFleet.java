package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.lane.LanePlan;
import io.bilberrygrade.core.lane.LongDemand;
import io.bilberrygrade.core.lane.LongEngines;
import io.bilberrygrade.core.lane.LongLaneSize;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import io.bilberrygrade.core.routing.FleetLayout;
import io.bilberrygrade.core.routing.PrefillRate;
import io.bilberrygrade.core.routing.PrefixIndex;
import io.bilberrygrade.core.routing.WatchedEngines;
import java.time.Duration;
import java.time.Instant;

/**
 * Engines of one model, with their layout and the prior prefill rate, which are refreshed
 * periodically.
 */
final class ModelFleet implements EngineFleet {
    private static final Duration DEFAULT_TARGET = Duration.ofSeconds(1);

    private final EndpointController mEndpoints;
    private final Deployment mDeployment;
    private final ImmutableList<Endpoint> mEngines;
    private final Duration mTightestTarget;
    private final boolean mConfined;
    private LongDemand mDemand;
    private LongLaneSize mLongLaneSize;
    private FleetLayout mLayout;
    private PrefillRate mPrior = PrefillRate.prior(PrefillRate.DEFAULT_TOKENS_PER_SECOND);

    ModelFleet(
            EndpointController endpoints,
            Deployment deployment,
            ModelId model,
            InstanceId self,
            boolean confined,
            Instant now) {
        mEndpoints = endpoints;
        mDeployment = deployment;
        mEngines = deployment.enginesOf(model);
        mTightestTarget =
                deployment.classes().values().stream()
                        .map(WorkClass::timeToFirstToken)
                        .min(Duration::compareTo)
                        .orElse(DEFAULT_TARGET);
        mConfined = confined;
        mDemand = LongDemand.none(now);
        mLongLaneSize = LongLaneSize.initial(now);
        mLayout = FleetLayout.of(mEngines, WatchedEngines.of(self, mEngines), planLanes(1, now));
    }

    Deployment deployment() {
        return mDeployment;
    }

    /**
     * Takes over the measured demand and the size of the long lane from the fleet of an earlier
     * configuration.
     */
    void inheritDemand(ModelFleet earlier, int daemons, Instant now) {
        mDemand = earlier.mDemand;
        mLongLaneSize = earlier.mLongLaneSize;
        refresh(daemons, now);
    }

    /** Records a long prompt that arrived at this daemon. */
    void recordLongPrompt(long tokens, Instant now) {
        mDemand = mDemand.arrived(tokens, now);
    }

    /** Recomputes the prior rate and the long lane. */
    void refresh(int daemons, Instant now) {
        mLayout = mLayout.with(planLanes(daemons, now));
    }

    private LanePlan planLanes(int daemons, Instant now) {
        mPrior = PrefillRate.prior(mEndpoints.medianRate(mEngines));
        double demand = mDemand.at(now).tokensPerSecond() * daemons;
        int maxEngines = LongEngines.most(mEngines);
        mLongLaneSize = mLongLaneSize.next(demand, mPrior.tokensPerSecond(), maxEngines, now);
        ImmutableSet<EndpointId> confinedTo =
                mConfined
                        ? LongEngines.choose(mEngines, mLongLaneSize.engines())
                        : ImmutableSet.of();
        return new LanePlan(mTightestTarget, mPrior.tokensPerSecond(), confinedTo);
    }

    PrefillRate prior() {
        return mPrior;
    }

    @Override
    public FleetLayout layout() {
        return mLayout;
    }

    @Override
    public PrefixIndex prefixes() {
        return mEndpoints.prefixes();
    }

    @Override
    public EndpointView view(Endpoint engine, Instant now) {
        return mEndpoints.view(engine, mPrior, now);
    }
}
