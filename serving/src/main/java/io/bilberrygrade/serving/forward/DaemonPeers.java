package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.exchange.ExchangeRounds;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.peer.PeerServer;
import io.bilberrygrade.serving.relay.RelayNaming;
import io.bilberrygrade.serving.room.SlownessWatch;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;

/** Puts together what a daemon exchanges with its peers, and the server that they call. */
final class DaemonPeers {
    private final WorkExchange mExchange;
    private final RateLimitExchange mRateLimits;
    private final PeerServer mServer;

    DaemonPeers(
            Vertx vertx,
            ForwardSettings settings,
            PeerIdentity self,
            FleetMember member,
            PeerNetwork network,
            FleetView fleet,
            WorkLedger work,
            StateReader reader,
            ConfigDecoder decoder,
            RelayNaming naming,
            ForwardContext context) {
        StateController state = context.state();
        Clocks clocks = context.clocks();
        Timers timers = context.timers();
        EventLog events = context.events();
        ConfigExchange configs = new ConfigExchange(state, network, decoder, timers, events);
        mRateLimits = new RateLimitExchange(fleet, member, context.tracker(), events);
        mExchange =
                new WorkExchange(
                        network,
                        fleet,
                        member,
                        work,
                        new ConfirmationExchange(state, reader, configs),
                        state,
                        new StoreRelay(state, reader, clocks),
                        mRateLimits,
                        new CrashExchange(fleet, context.quarantine()),
                        new SlownessWatch(fleet, events),
                        naming,
                        clocks,
                        new ExchangeRounds(timers, clocks::now, events));
        mServer =
                new PeerServer(
                        vertx,
                        self,
                        settings.peerKey(),
                        new PeerCallDispatcher(mExchange, configs),
                        ControlTraffic.unexported(),
                        events);
    }

    WorkExchange exchange() {
        return mExchange;
    }

    RateLimitExchange rateLimits() {
        return mRateLimits;
    }

    /** Starts to accept calls of peers. */
    Uni<Void> listen(Address address) {
        return mServer.listen(address.host(), address.port()).replaceWithVoid();
    }
}
