package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.admission.WorthRanking;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.share.ClassDemand;
import io.bilberrygrade.core.share.ShareAllocator;
import io.bilberrygrade.core.share.ShareLimit;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ShareEvent;
import io.bilberrygrade.serving.peer.ClassUse;
import io.bilberrygrade.serving.peer.GossipDigest;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PolicySettings;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Turns class targets into limits: sums up the demand of each class over all daemons, divides the
 * fleet's capacity and decides which requests are within the share of their class and team.
 */
public final class ShareController implements GossipContributor {
    private static final double MAX_URGENT_PART = 0.75;

    private final PeerIdentity mSelf;
    private final PolicySettings mPolicy;
    private final EventLog mEvents;
    private final Map<WorkClassId, ClassDemand> mOwnDemand = new HashMap<>();
    private final Map<WorkClassId, WorthRanking> mRankings = new HashMap<>();
    private final PeerDemand mPeerDemand = new PeerDemand();
    private final Map<WorkClassId, ShareLimit> mLimits = new HashMap<>();
    private double mCapacity;
    private int mRotation;

    /** Creates the controller; no class is limited before the first {@link #recompute}. */
    public ShareController(PeerIdentity self, PolicySettings policy, EventLog events) {
        mSelf = self;
        mPolicy = policy;
        mEvents = events;
    }

    /**
     * Records an arrived request and returns whether it is within the share of its class and team.
     * {@code tokens} is the part of its prompt that needs prefill.
     */
    public boolean recordArrival(InferenceRequest request, long tokens, Instant now) {
        WorkClassId id = request.workClass().id();
        ClassDemand demand = mOwnDemand.computeIfAbsent(id, i -> new ClassDemand());
        demand.recordArrival(request.team(), tokens, now);
        WorthRanking ranking = mRankings.computeIfAbsent(id, i -> new WorthRanking());
        ranking.recordArrival(request.worth(), tokens);
        ShareLimit limit = mLimits.getOrDefault(id, ShareLimit.NONE);
        if (!limit.limited() || !mPolicy.isEnabled(Mechanism.CLASS_SHARES)) {
            return true;
        }
        double granted = limit.tokensPerSecond() / fleetDemand(id, now);
        double part =
                mPolicy.isEnabled(Mechanism.TEAM_FAIRNESS)
                        ? demand.fairFraction(request.team(), granted, now)
                        : granted;
        return ranking.isInTopFraction(request.worth(), tokens, part);
    }

    /**
     * Recomputes the limits; {@code capacity} is that of the whole fleet, in tokens per second. A
     * capacity of 0 means unknown and leaves the limits unchanged.
     */
    public void recompute(Deployment deployment, double capacity, Instant now) {
        mCapacity = capacity;
        mOwnDemand.keySet().retainAll(deployment.classes().keySet());
        mRankings.keySet().retainAll(deployment.classes().keySet());
        mLimits.keySet().retainAll(deployment.classes().keySet());
        if (capacity <= 0) {
            return;
        }
        ImmutableMap<WorkClassId, Double> demand =
                deployment.classes().keySet().stream()
                        .collect(ImmutableMap.toImmutableMap(c -> c, c -> fleetDemand(c, now)));
        ShareAllocator.allocate(deployment.classes().values(), demand, capacity)
                .forEach((id, grant) -> updateLimit(id, demand.get(id), grant));
    }

    private void updateLimit(WorkClassId id, double demand, double grant) {
        ShareLimit before = mLimits.getOrDefault(id, ShareLimit.NONE);
        ShareLimit after = before.next(demand, grant);
        mLimits.put(id, after);
        if (before.limited() != after.limited()) {
            mEvents.record(
                    after.limited()
                            ? new ShareEvent.Limited(id.value(), demand, grant)
                            : new ShareEvent.Unlimited(id.value(), demand, grant));
        }
    }

    /** Returns the fraction of the capacity that classes with tighter targets use, at most 0.75. */
    public double urgentPart(Deployment deployment, WorkClass workClass, Instant now) {
        if (mCapacity <= 0) {
            return 0;
        }
        double used =
                deployment.classes().values().stream()
                        .filter(
                                c ->
                                        c.timeToFirstToken().compareTo(workClass.timeToFirstToken())
                                                < 0)
                        .mapToDouble(c -> used(c.id(), now))
                        .sum();
        return Math.min(MAX_URGENT_PART, used / mCapacity);
    }

    /** Returns the demand of a class over all daemons, in tokens per second. */
    public double fleetDemand(WorkClassId id, Instant now) {
        return ownDemand(id, now) + mPeerDemand.tokensPerSecond(id, now);
    }

    /** Returns whether a class is limited to its grant. */
    public boolean limited(WorkClassId id) {
        return mLimits.getOrDefault(id, ShareLimit.NONE).limited();
    }

    private double used(WorkClassId id, Instant now) {
        ShareLimit limit = mLimits.getOrDefault(id, ShareLimit.NONE);
        double demand = fleetDemand(id, now);
        return limit.limited() ? Math.min(demand, limit.tokensPerSecond()) : demand;
    }

    private double ownDemand(WorkClassId id, Instant now) {
        ClassDemand own = mOwnDemand.get(id);
        return own == null ? 0 : own.tokensPerSecond(now);
    }

    /** Returns this daemon's use of each class. */
    public ImmutableList<ClassUse> report(Instant now) {
        return mOwnDemand.entrySet().stream()
                .map(
                        e ->
                                new ClassUse(
                                        mSelf.instance().value(),
                                        mSelf.incarnation().value(),
                                        e.getKey().value(),
                                        e.getValue().tokensPerSecond(now),
                                        0,
                                        0))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public void contribute(GossipDigestBuilder digestBuilder, Instant now) {
        addRotated(digestBuilder, report(now));
        addRotated(digestBuilder, mPeerDemand.uses(now));
        mRotation++;
    }

    private void addRotated(GossipDigestBuilder digestBuilder, ImmutableList<ClassUse> uses) {
        for (int i = 0; i < uses.size(); i++) {
            if (!digestBuilder.add(uses.get((mRotation + i) % uses.size()))) {
                return;
            }
        }
    }

    @Override
    public boolean merge(PeerIdentity from, GossipDigest digest, Instant now) {
        InstanceId self = mSelf.instance();
        digest.classUse().stream()
                .filter(u -> !u.instance().equals(self.value()))
                .forEach(u -> mPeerDemand.merge(u, now));
        return false;
    }
}
