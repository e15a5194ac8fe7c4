package io.bilberrygrade.serving.entry;

import io.bilberrygrade.core.atmostonce.KeyAuthority;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.atmostonce.AtMostOnceController;
import io.bilberrygrade.serving.atmostonce.KeyRouter;
import io.bilberrygrade.serving.atmostonce.PlainServiceDispatch;
import io.bilberrygrade.serving.controller.ConfigController;
import io.bilberrygrade.serving.controller.ConfigGossip;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.GossipController;
import io.bilberrygrade.serving.controller.LeavingController;
import io.bilberrygrade.serving.controller.LoadController;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.controller.OrderController;
import io.bilberrygrade.serving.controller.ReclaimController;
import io.bilberrygrade.serving.controller.ShareController;
import io.bilberrygrade.serving.controller.StartupController;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Creates and connects the controllers and the filter chain of one daemon. External dependencies
 * are passed in, so that a daemon on sockets and one in a test run the same code.
 */
public final class Controllers {
    private static final Duration CONFIG_WATCH_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration CONFIG_RETRY_DELAY = Duration.ofSeconds(1);

    private final EntrySettings mSettings;
    private final PeerIdentity mSelf;
    private final DaemonDependencies mDependencies;
    private final EventLog mEvents;
    private final DrainController mDrain = new DrainController();
    private final EndpointController mEndpoints;
    private final ConfigController mConfig;
    private final MembershipController mMembership;
    private final GossipController mGossip;
    private final ShareController mShares;
    private final ConfigGossip mConfigGossip;
    private final StartupController mStartup;
    private final AtMostOnceController mKeys;
    private final KeyRouter mKeyRouter;
    private final GangController mGangs;
    private final LeavingController mLeaving;
    private final ReclaimController mReclaim;
    private final OrderController mOrders;

    /** Creates the controllers of a run, in their initial state. */
    public Controllers(
            EntrySettings settings,
            PeerIdentity self,
            DaemonDependencies dependencies,
            EventLog events) {
        mSettings = settings;
        mSelf = self;
        mDependencies = dependencies;
        mEvents = events;
        mEndpoints = new EndpointController(settings.instance(), settings.policy());
        mConfig =
                new ConfigController(
                        dependencies.configuration(),
                        dependencies.loader(),
                        isEnabled(Mechanism.VERSION_GUARD),
                        events);
        mMembership = createMembership();
        mGossip = new GossipController(mMembership, dependencies.peers(), dependencies.clock());
        mShares = new ShareController(self, settings.policy(), events);
        mConfigGossip =
                new ConfigGossip(
                        mConfig,
                        dependencies.peers(),
                        mMembership::address,
                        mDrain::hasBecomeReady);
        mStartup = createStartup();
        KeyAuthority authority = new KeyAuthority(settings.peerKey().bytes());
        mKeys = createKeys(authority);
        mKeyRouter =
                new KeyRouter(
                        authority, mKeys, mMembership, dependencies.peers(), dependencies.clock());
        mGangs =
                new GangController(
                        settings.instance(),
                        mMembership,
                        dependencies.peers(),
                        dependencies.clock());
        mLeaving =
                new LeavingController(
                        isEnabled(Mechanism.LEAVING_GOSSIP), mGossip::spreadNews, events);
        mReclaim = createReclaim();
        mOrders = createOrders();
        connect();
    }

    private void connect() {
        mGossip.register(mShares);
        mGossip.register(mConfigGossip);
        mGossip.register(mLeaving);
        mEndpoints.setLeavingController(mLeaving);
        mConfig.onChange(mEndpoints::onDeployment);
        mConfig.onChange(d -> mGossip.spreadNews());
    }

    private boolean isEnabled(Mechanism mechanism) {
        return mSettings.policy().isEnabled(mechanism);
    }

    private MembershipController createMembership() {
        return new MembershipController(
                mSelf,
                mDependencies.instances(),
                mDependencies.random(),
                mEvents,
                mDependencies.clock().instant());
    }

    private StartupController createStartup() {
        return new StartupController(
                mConfig,
                mConfigGossip,
                mMembership::publishedPeers,
                mDependencies.engine(),
                mDependencies.clock(),
                mEvents);
    }

    private AtMostOnceController createKeys(KeyAuthority authority) {
        return new AtMostOnceController(
                mSelf,
                authority,
                mDrain,
                new PlainServiceDispatch(
                        mDependencies.service(),
                        mEndpoints,
                        mConfig::current,
                        mDependencies.clock()),
                mDependencies.timers(),
                mSettings.policy(),
                mDependencies.clock());
    }

    private ReclaimController createReclaim() {
        return new ReclaimController(
                mSettings.instance(),
                mDependencies.engine(),
                mMembership,
                mConfig::current,
                mDependencies.clock(),
                mEvents);
    }

    private OrderController createOrders() {
        return new OrderController(
                mDependencies.engine(),
                mConfig::current,
                this::issuesOrders,
                isEnabled(Mechanism.FENCING),
                mDependencies.timers(),
                mDependencies.clock(),
                mEvents);
    }

    private boolean issuesOrders(EndpointId engine) {
        return mDrain.hasBecomeReady()
                && mMembership
                        .orderIssuer(engine, mDependencies.clock().instant())
                        .equals(Optional.of(mSettings.instance()));
    }

    /** Returns the filter chain for callers' requests. */
    public FilterChain<Exchange> chain() {
        FilterChainFactory.Parts parts =
                new FilterChainFactory.Parts(
                        mSelf.incarnation(),
                        mDependencies.engine(),
                        mKeyRouter,
                        mGangs,
                        mEndpoints,
                        mShares,
                        mDrain,
                        mDependencies.timers(),
                        mDependencies.random());
        return new FilterChainFactory(mSettings, mDependencies.clock(), mEvents).chain(parts);
    }

    /** Returns the handler of peer messages. */
    public PeerHandler peerCalls() {
        return new PeerCalls(mGossip, mKeyRouter, mGangs, mConfigGossip);
    }

    /** Starts the controllers' periodic tasks. */
    public void start(PeriodicTasks tasks) {
        LoadController loads =
                new LoadController(mDependencies.engine(), mEndpoints, mDependencies.clock());
        tasks.repeat("config", Duration.ofMillis(300), this::watchConfig);
        tasks.repeat("instance list", Duration.ofSeconds(2), this::refreshInstances);
        tasks.repeat("load", Duration.ofMillis(250), loads::readOldest);
        tasks.repeat("endpoints", Duration.ofSeconds(1), this::recomputeEndpoints);
        tasks.repeat("shares", Duration.ofMillis(500), this::recomputeShares);
        tasks.repeat("orders", OrderController.PERIOD, mOrders::round);
        if (isEnabled(Mechanism.RECLAIM)) {
            tasks.repeat("reclaim", ReclaimController.PERIOD, mReclaim::sweep);
        }
        tasks.repeatUntil("startup", Duration.ofMillis(100), this::advanceStartup, mStartup::done);
        tasks.repeat("gossip", MembershipController.GOSSIP_INTERVAL, mGossip::round);
    }

    private Uni<Void> watchConfig() {
        return mConfig.refresh(CONFIG_WATCH_TIMEOUT)
                .onFailure(CallException.class)
                .recoverWithUni(() -> mDependencies.timers().after(CONFIG_RETRY_DELAY));
    }

    private Uni<Void> refreshInstances() {
        return mMembership.refresh().invoke(() -> mLeaving.setPublished(mMembership.instances()));
    }

    private Uni<Void> recomputeEndpoints() {
        Instant now = mDependencies.clock().instant();
        mEndpoints.recompute(mMembership.alive(now).size() + 1, now);
        return Uni.createFrom().voidItem();
    }

    private Uni<Void> recomputeShares() {
        Instant now = mDependencies.clock().instant();
        mShares.recompute(mConfig.current(), mEndpoints.capacity(now), now);
        return Uni.createFrom().voidItem();
    }

    private Uni<Void> advanceStartup() {
        return mStartup.advance(mGossip::spreadNews).invoke(this::becomeReady);
    }

    private void becomeReady() {
        if (mStartup.done() && !mDrain.hasBecomeReady()) {
            mDrain.becomeReady();
            mEvents.record(new LifecycleEvent.Ready(mConfig.current().version()));
        }
    }

    /** Returns the controller of the configuration in force. */
    public ConfigController config() {
        return mConfig;
    }

    /** Returns the controller of the cluster membership. */
    public MembershipController membership() {
        return mMembership;
    }

    /** Returns the controller of the endpoints. */
    public EndpointController endpoints() {
        return mEndpoints;
    }

    /** Returns the controller of the drain. */
    public DrainController drain() {
        return mDrain;
    }

    /** Returns the controller of the idempotency keys that this run issued. */
    public AtMostOnceController keys() {
        return mKeys;
    }
}
