package io.bilberrygrade.serving.report;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.report.StatusDocument.ConfigLine;
import io.bilberrygrade.serving.report.StatusDocument.EndpointLine;
import io.bilberrygrade.serving.report.StatusDocument.PeerLine;
import io.bilberrygrade.serving.wire.InstanceDocument;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/** Collects the status of a daemon from the controllers that own its state. */
public final class StatusReporter {
    private final PeerIdentity mSelf;
    private final String mDataCentre;
    private final Instant mStarted;
    private final DrainController mDrain;
    private final EndpointController mEndpoints;
    private final MembershipController mMembership;
    private final AuditTrail mAudit;
    private Deployment mDeployment = Deployment.EMPTY;
    private Optional<Instant> mInForceSince = Optional.empty();

    /** Creates a reporter that reads the given controllers. */
    public StatusReporter(
            PeerIdentity self,
            String dataCentre,
            Instant started,
            DrainController drain,
            EndpointController endpoints,
            MembershipController membership,
            AuditTrail audit) {
        mSelf = self;
        mDataCentre = dataCentre;
        mStarted = started;
        mDrain = drain;
        mEndpoints = endpoints;
        mMembership = membership;
        mAudit = audit;
    }

    /** Records that a configuration came into force. */
    public void onDeployment(Deployment deployment, Instant now) {
        mDeployment = deployment;
        mInForceSince = Optional.of(now);
    }

    /**
     * Returns the time since the current configuration came into force; empty before the first one.
     */
    public Optional<Duration> configAge(Instant now) {
        return mInForceSince.map(since -> Duration.between(since, now));
    }

    /** Returns the status at the given time. */
    public StatusDocument status(Instant now) {
        return new StatusDocument(
                mSelf.instance().value(),
                mDataCentre,
                mSelf.incarnation().value(),
                mStarted.toString(),
                now.toString(),
                mDrain.isAccepting(),
                mDrain.isDraining(),
                mDrain.runningRequests(),
                new ConfigLine(mDeployment.version(), mInForceSince.map(Instant::toString)),
                peers(now),
                mDeployment.endpoints().values().stream()
                        .map(e -> line(mEndpoints.view(e, now)))
                        .collect(ImmutableList.toImmutableList()),
                mAudit.entries());
    }

    private ImmutableList<PeerLine> peers(Instant now) {
        Map<InstanceId, Incarnation> alive = mMembership.alive(now);
        return mMembership.instances().instances().stream()
                .filter(i -> i.isEntry() && !i.id().equals(mSelf.instance().value()))
                .map(i -> line(i, Optional.ofNullable(alive.get(new InstanceId(i.id())))))
                .collect(ImmutableList.toImmutableList());
    }

    private static PeerLine line(InstanceDocument instance, Optional<Incarnation> alive) {
        String state = alive.isPresent() ? instance.state() : "unreachable";
        return new PeerLine(instance.id(), state, alive.map(Incarnation::value));
    }

    private static EndpointLine line(EndpointView view) {
        Endpoint endpoint = view.endpoint();
        return new EndpointLine(
                endpoint.id().value(),
                endpoint.dataCentre().value(),
                kind(endpoint.kind()),
                view.available(),
                view.ownRequests(),
                Math.round(view.backlog().ahead(Lane.LONG)),
                view.freeTokens());
    }

    private static String kind(EndpointKind kind) {
        return switch (kind) {
            case EndpointKind.Engine e -> "engine";
            case EndpointKind.Service s -> s.service().value();
        };
    }
}
