package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.gang.GangLeases;
import io.bilberrygrade.core.gang.GangPlan;
import io.bilberrygrade.core.gang.StewardRanking;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

/**
 * Grants engines to gangs for which this daemon is the steward, and requests grants from other
 * stewards. If a steward doesn't answer in time, the next in rank is asked; if none answers, the
 * request proceeds without a grant, since only the engines' reservations are binding.
 */
public final class GangController {
    private static final Duration STEWARD_TIMEOUT = Duration.ofMillis(250);
    private static final int MAX_STEWARDS = 3;

    private final InstanceId mSelf;
    private final MembershipController mMembership;
    private final PeerNetwork mPeers;
    private final InstantSource mClock;
    private GangLeases mLeases = GangLeases.NONE;

    /** Creates the controller, with no grants. */
    public GangController(
            InstanceId self,
            MembershipController membership,
            PeerNetwork peers,
            InstantSource clock) {
        mSelf = self;
        mMembership = membership;
        mPeers = peers;
        mClock = clock;
    }

    /**
     * Requests a grant; returns the engines that other gangs hold, which is empty if the grant was
     * given.
     */
    public Uni<ImmutableSet<EndpointId>> request(
            InferenceRequest request, GangPlan plan, Duration lifetime) {
        PeerMessage message =
                new PeerMessage.GangRequest(
                        request.id().value(),
                        plan.engines().stream().map(EndpointId::value).toList(),
                        lifetime.toMillis());
        return callFirstReachable(stewards(request, plan), message)
                .map(
                        reply ->
                                reply instanceof PeerMessage.GangGrant g
                                        ? ids(g.busy())
                                        : ImmutableSet.<EndpointId>of());
    }

    /** Releases a grant; if that fails, the grant expires. */
    public Uni<Void> release(InferenceRequest request, GangPlan plan) {
        PeerMessage message = new PeerMessage.GangRelease(request.id().value());
        return callFirstReachable(stewards(request, plan), message).replaceWithVoid();
    }

    /** Handles a daemon's request for a grant. */
    public PeerMessage onRequest(PeerMessage.GangRequest message) {
        RequestId request = new RequestId(message.request());
        ImmutableSet<EndpointId> engines = ids(message.engines());
        Optional<GangLeases> granted =
                mLeases.grant(
                        request,
                        engines,
                        Duration.ofMillis(message.lifetimeMillis()),
                        mClock.instant());
        granted.ifPresent(l -> mLeases = l);
        return new PeerMessage.GangGrant(
                mLeases.busy(request, engines, mClock.instant()).stream()
                        .map(EndpointId::value)
                        .toList());
    }

    /** Handles the release of a request's grant. */
    public PeerMessage onRelease(PeerMessage.GangRelease message) {
        mLeases = mLeases.release(new RequestId(message.request()), mClock.instant());
        return new PeerMessage.GangGrant(List.of());
    }

    private List<InstanceId> stewards(InferenceRequest request, GangPlan plan) {
        ImmutableSet<InstanceId> live =
                ImmutableSet.<InstanceId>builder()
                        .addAll(mMembership.alive(mClock.instant()).keySet())
                        .add(mSelf)
                        .build();
        return StewardRanking.of(request.model(), plan.dataCentre(), live).stream()
                .limit(MAX_STEWARDS)
                .toList();
    }

    /** Calls the first steward or, if it can't be reached, the next ones in turn. */
    private Uni<PeerMessage> callFirstReachable(List<InstanceId> stewards, PeerMessage message) {
        if (stewards.isEmpty()) {
            return Uni.createFrom().item(new PeerMessage.Failure("no steward can be reached"));
        }
        InstanceId first = stewards.get(0);
        if (first.equals(mSelf)) {
            return Uni.createFrom().item(handleLocally(message));
        }
        return mMembership
                .address(first)
                .map(a -> mPeers.call(a, message, STEWARD_TIMEOUT))
                .orElseGet(() -> Uni.createFrom().failure(new IllegalStateException("no address")))
                .onFailure()
                .recoverWithUni(
                        () -> callFirstReachable(stewards.subList(1, stewards.size()), message));
    }

    private PeerMessage handleLocally(PeerMessage message) {
        return switch (message) {
            case PeerMessage.GangRequest r -> onRequest(r);
            case PeerMessage.GangRelease r -> onRelease(r);
            default -> new PeerMessage.Failure("unexpected");
        };
    }

    private static ImmutableSet<EndpointId> ids(List<String> values) {
        return values.stream().map(EndpointId::new).collect(ImmutableSet.toImmutableSet());
    }
}
