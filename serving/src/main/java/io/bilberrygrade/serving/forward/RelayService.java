package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.listen.PortOpener;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.relay.ReachController;
import io.bilberrygrade.serving.relay.RelayAuthenticator;
import io.bilberrygrade.serving.relay.RelayDirectory;
import io.bilberrygrade.serving.relay.RelayNaming;
import io.bilberrygrade.serving.relay.RelayedLoad;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Hands requests over to peers, and takes theirs, where the settings state an address for that. */
final class RelayService {
    private final Optional<Address> mAddress;
    private final Optional<RelayDirectory> mRelays;
    private final RelayNaming mNaming;
    private final ReachController mReach;
    private final RelayAuthenticator mAuthenticator;
    private final RelayedLoad mLoad = new RelayedLoad();
    private final StateController mState;
    private final Clocks mClocks;
    private final EventLog mEvents;
    private Optional<FrontServer> mServer = Optional.empty();

    RelayService(
            ForwardSettings settings,
            FleetMember self,
            PeerNetwork network,
            FleetView fleet,
            StateController state,
            EndpointClient client,
            Clocks clocks,
            Timers timers,
            UniformRandomProvider random,
            EventLog events) {
        mAddress = settings.options().relay();
        mNaming =
                new RelayNaming(
                        self,
                        settings.options(),
                        () -> reach().isCutFromAll(),
                        clocks::now,
                        random);
        mRelays =
                mAddress.map(a -> new RelayDirectory(network, fleet, mNaming, clocks::now, random));
        mAuthenticator = new RelayAuthenticator(settings.peerKey());
        mState = state;
        mClocks = clocks;
        mEvents = events;
        mReach =
                new ReachController(
                        mRelays,
                        this::endpoints,
                        client::acceptsConnections,
                        clocks::now,
                        timers,
                        random,
                        events);
    }

    private ImmutableList<RegisteredEndpoint> endpoints() {
        EndpointDirectory directory = mState.endpoints();
        Instant now = mClocks.now();
        return directory.ids().stream()
                .flatMap(id -> directory.find(id, now).stream())
                .collect(ImmutableList.toImmutableList());
    }

    ReachController reach() {
        return mReach;
    }

    RelayNaming naming() {
        return mNaming;
    }

    RelayAuthenticator authenticator() {
        return mAuthenticator;
    }

    /** Returns the filters of requests of peers, before those of all requests. */
    ImmutableList<RequestFilter<ForwardExchange>> filters(
            ImmutableList<RequestFilter<ForwardExchange>> ofAll, BooleanSupplier ready) {
        return ImmutableList.<RequestFilter<ForwardExchange>>builder()
                .add(new RelayFilter(mAuthenticator, mState, mLoad, ready, mEvents))
                .addAll(ofAll)
                .build();
    }

    /** Starts to take requests of peers, if the settings state an address for that. */
    Uni<Void> open(PortOpener ports, FrontServer server) {
        if (mAddress.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        mServer = Optional.of(server);
        return ports.open(mAddress.get(), server::listen);
    }

    /** Refuses peers' requests whose bodies have stalled, and closes idle connections of peers. */
    void enforceIdleLimit(Instant now) {
        mServer.ifPresent(s -> s.enforceIdleLimit(now));
    }

    void registerGauges(ForwardMetrics metrics) {
        metrics.registerGauge("services_unreachable", mReach::cutCountNow);
        metrics.registerGauge("services_unreachable_total", mReach::cutCount);
        metrics.registerGauge("handed_over_total", mReach::handedOverCount);
        metrics.registerGauge("relays_known", () -> mRelays.map(RelayDirectory::size).orElse(0));
        metrics.registerGauge("relayed_running", mLoad::running);
        metrics.registerGauge("relayed_body_bytes", mLoad::bodyBytes);
        metrics.registerGauge("relayed_total", mLoad::takenCount);
    }
}
