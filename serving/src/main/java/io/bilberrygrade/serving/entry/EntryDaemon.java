package io.bilberrygrade.serving.entry;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.atmostonce.KeyAuthority;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.RequestId;
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
import io.bilberrygrade.serving.engine.HttpModelEngine;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.http.CallerApi;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.http.KeysApi;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerServer;
import io.bilberrygrade.serving.peer.TcpPeerNetwork;
import io.bilberrygrade.serving.platform.HttpConfigSource;
import io.bilberrygrade.serving.platform.HttpInstanceSource;
import io.bilberrygrade.serving.report.AuditTrail;
import io.bilberrygrade.serving.service.HttpPlainService;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.time.VertxTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One entry daemon. All its state is touched on one event loop only, so that no part of it needs a
 * lock.
 */
public final class EntryDaemon extends AbstractVerticle {
    /** Time for which an idle daemon goes on refusing, for connections that are still open. */
    private static final Duration DRAIN_LINGER = Duration.ofSeconds(2);

    private static final Duration CONFIG_WAIT = Duration.ofSeconds(4);
    private static final Duration CONFIG_RETRY = Duration.ofSeconds(1);
    private static final Duration STARTUP_PAUSE = Duration.ofMillis(100);
    private static final Duration CONFIG_PAUSE = Duration.ofMillis(300);
    private static final Duration LOAD_PERIOD = Duration.ofMillis(250);
    private static final Duration ENDPOINTS_PERIOD = Duration.ofSeconds(1);
    private static final Duration INSTANCE_LIST_PERIOD = Duration.ofSeconds(2);

    private static final Duration SHARES_PERIOD = Duration.ofMillis(500);

    private final EntrySettings mSettings;
    private final Incarnation mIncarnation;
    private final InstantSource mClock;
    private final AuditTrail mEvents;
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final DrainController mDrain = new DrainController();
    private final EndpointController mEndpoints;
    private ConfigController mConfig;
    private MembershipController mMembership;
    private GossipController mGossip;
    private ShareController mShares;
    private AtMostOnceController mKeys;
    private KeyRouter mKeyRouter;
    private Observation mObservation;
    private GangController mGangs;
    private HttpCalls mCalls;
    private TcpPeerNetwork mPeers;
    private PeerServer mPeerServer;
    private HttpServer mServer;
    private Timers mTimers;
    private ModelEngine mEngine;
    private ConfigGossip mConfigGossip;
    private StartupController mStartup;
    private LeavingController mLeaving;
    private ReclaimController mReclaim;
    private OrderController mOrders;
    private long mNextRequest;
    private PeriodicTasks mTasks;

    /** Creates the daemon; deploying it starts it. */
    public EntryDaemon(
            EntrySettings settings, Incarnation incarnation, InstantSource clock, EventLog events) {
        mSettings = settings;
        mEndpoints = new EndpointController(settings.instance(), settings.policy());
        mIncarnation = incarnation;
        mClock = clock;
        mEvents = new AuditTrail(events, clock);
    }

    @Override
    public void start(Promise<Void> started) {
        io.vertx.mutiny.core.Vertx mutinyVertx = io.vertx.mutiny.core.Vertx.newInstance(vertx);
        PeerIdentity self = new PeerIdentity(mSettings.instance(), mIncarnation);
        ControlTraffic traffic = new ControlTraffic(mMetrics);
        mTimers = new VertxTimers(vertx);
        mCalls = new HttpCalls(mutinyVertx, traffic);
        mPeers = new TcpPeerNetwork(vertx, self, mSettings.peerKey(), traffic);
        mEngine = new HttpModelEngine(mCalls, mClock);
        createControllers(self);
        createObservation(self);
        mPeerServer =
                new PeerServer(
                        vertx,
                        self,
                        mSettings.peerKey(),
                        mObservation.before(
                                new PeerCalls(mGossip, mKeyRouter, mGangs, mConfigGossip)),
                        traffic,
                        mEvents);
        mServer = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        listen(started);
    }

    private void createControllers(PeerIdentity self) {
        mConfig =
                new ConfigController(
                        new HttpConfigSource(mCalls, mSettings.configurationService()),
                        mSettings.policy().enabled(Mechanism.VERSION_GUARD),
                        mEvents);
        mMembership =
                new MembershipController(
                        self,
                        new HttpInstanceSource(mCalls, mSettings.instanceList()),
                        mRandom,
                        mEvents,
                        mClock.instant());
        mGossip = new GossipController(mMembership, mPeers, mClock);
        mShares = new ShareController(self, mSettings.policy(), mEvents);
        mGossip.register(mShares);
        createStartup();
        mConfig.onChange(mEndpoints::onDeployment);
        mConfig.onChange(d -> mGossip.spreadNews());
        createKeys(self);
        mGangs = new GangController(mSettings.instance(), mMembership, mPeers, mClock);
        createEndpointControllers();
    }

    private void createStartup() {
        mConfigGossip = new ConfigGossip(mConfig, mPeers, mMembership::address, mDrain::serving);
        mGossip.register(mConfigGossip);
        mStartup =
                new StartupController(
                        mConfig,
                        mConfigGossip,
                        mMembership::publishedPeers,
                        mEngine,
                        mClock,
                        mEvents);
    }

    private void createEndpointControllers() {
        mLeaving =
                new LeavingController(
                        mSettings.policy().enabled(Mechanism.LEAVING_GOSSIP),
                        mGossip::spreadNews,
                        mEvents);
        mGossip.register(mLeaving);
        mEndpoints.attach(mLeaving);
        mReclaim =
                new ReclaimController(
                        mSettings.instance(),
                        mEngine,
                        mMembership,
                        mConfig::current,
                        mClock,
                        mEvents);
        mOrders =
                new OrderController(
                        mEngine,
                        mConfig::current,
                        this::issuesOrders,
                        mSettings.policy().enabled(Mechanism.FENCING),
                        mTimers,
                        mClock,
                        mEvents);
    }

    private boolean issuesOrders(EndpointId engine) {
        return mDrain.serving()
                && mMembership
                        .firstAlive(engine, mClock.instant())
                        .equals(Optional.of(mSettings.instance()));
    }

    private void createObservation(PeerIdentity self) {
        mObservation =
                new Observation(
                        mSettings,
                        self,
                        mClock,
                        mMetrics,
                        mEvents,
                        mConfig,
                        mMembership,
                        mEndpoints,
                        mDrain,
                        mPeers);
    }

    private void createKeys(PeerIdentity self) {
        KeyAuthority authority = new KeyAuthority(mSettings.peerKey().bytes());
        mKeys =
                new AtMostOnceController(
                        self,
                        authority,
                        mDrain,
                        new PlainServiceDispatch(
                                new HttpPlainService(mCalls), mEndpoints, mConfig::current, mClock),
                        mTimers,
                        mSettings.policy(),
                        mClock);
        mKeyRouter = new KeyRouter(authority, mKeys, mMembership, mPeers, mClock);
    }

    private void listen(Promise<Void> started) {
        mServer.requestHandler(router())
                .listen(mSettings.callerPort(), mSettings.host())
                .onFailure(started::fail)
                .onSuccess(
                        s ->
                                mPeerServer
                                        .listen(mSettings.host(), mSettings.peerPort())
                                        .subscribe()
                                        .with(port -> opened(started, port), started::fail));
    }

    private void opened(Promise<Void> started, int peerPort) {
        mEvents.record(
                new LifecycleEvent.Started(
                        mSettings.instance().value(),
                        mIncarnation.value(),
                        mServer.actualPort(),
                        peerPort));
        startBackgroundWork();
        started.complete();
    }

    /** Returns the port on which callers are served, once the daemon is deployed. */
    public int callerPort() {
        return mServer.actualPort();
    }

    /**
     * Refuses new requests and completes when the running ones have their answers, or with those
     * left over once the drain's bound has passed. Safe to call from any thread.
     */
    public Uni<Void> drain() {
        return Uni.createFrom()
                .emitter(e -> context.runOnContext(v -> drainOnContext(e::complete)));
    }

    private void drainOnContext(Consumer<Void> done) {
        mEvents.record(new LifecycleEvent.DrainStarted(mDrain.running()));
        Uni<Void> idle = mDrain.drain().call(() -> mTimers.after(DRAIN_LINGER));
        Uni.join()
                .first(idle, mTimers.after(mSettings.drainTimeout()))
                .toTerminate()
                .subscribe()
                .with(v -> done.accept(null));
    }

    @Override
    public void stop() {
        mTasks.close();
        mPeers.close();
        mCalls.close();
        mEvents.record(new LifecycleEvent.Stopped(mDrain.running()));
    }

    private Router router() {
        RequestPath path = new RequestPath(mSettings, mClock, mEvents);
        CallerApi api =
                new CallerApi(
                        path.chain(
                                new RequestPath.Parts(
                                        mIncarnation,
                                        mEngine,
                                        mKeyRouter,
                                        mGangs,
                                        mEndpoints,
                                        mShares,
                                        mDrain,
                                        mTimers,
                                        mRandom)),
                        mConfig::current,
                        this::nextRequestId,
                        mClock,
                        mObservation.requests(),
                        mEvents);
        Router router = Router.router(vertx);
        router.route().handler(this::closeConnectionsOfDrain);
        api.mount(router, mSettings.maxBodyBytes());
        new KeysApi(mKeys, mConfig::current, this::nextRequestId, mDrain).mount(router);
        mObservation.mount(router);
        return router;
    }

    /** Has callers open their next connection elsewhere. */
    private void closeConnectionsOfDrain(RoutingContext call) {
        if (mDrain.draining()) {
            call.response().putHeader("Connection", "close");
        }
        call.next();
    }

    private RequestId nextRequestId() {
        String id = mSettings.instance() + "-" + mIncarnation.value() + "-" + mNextRequest++;
        return new RequestId(id);
    }

    private Uni<Void> advanceStartup() {
        return mStartup.advance(mGossip::spreadNews).invoke(this::becomeReady);
    }

    private void becomeReady() {
        if (mStartup.done() && !mDrain.serving()) {
            mDrain.becomeReady();
            mEvents.record(new LifecycleEvent.Ready(mConfig.current().version()));
        }
    }

    private void startBackgroundWork() {
        mTasks = new PeriodicTasks(vertx, mRandom, mEvents);
        mTasks.repeat("config", CONFIG_PAUSE, this::watchConfig);
        mTasks.repeat("instance list", INSTANCE_LIST_PERIOD, this::refreshInstances);
        LoadController loads = new LoadController(mEngine, mEndpoints, mClock);
        mTasks.repeat("load", LOAD_PERIOD, loads::readOldest);
        mTasks.repeat("endpoints", ENDPOINTS_PERIOD, this::renewEndpoints);
        mTasks.repeat("losses", Observation.LOSS_CHECK_PERIOD, mObservation::findLosses);
        mTasks.repeat("orders", OrderController.PERIOD, mOrders::round);
        if (mSettings.policy().enabled(Mechanism.RECLAIM)) {
            mTasks.repeat("reclaim", ReclaimController.PERIOD, mReclaim::sweep);
        }
        mTasks.repeat("shares", SHARES_PERIOD, this::renewShares);
        mTasks.repeatUntil("startup", STARTUP_PAUSE, this::advanceStartup, mStartup::done);
        mTasks.repeat("gossip", MembershipController.ROUND, mGossip::round);
    }

    private Uni<Void> refreshInstances() {
        return mMembership.refresh().invoke(() -> mLeaving.published(mMembership.instances()));
    }

    private Uni<Void> renewEndpoints() {
        Instant now = mClock.instant();
        mEndpoints.renew(mMembership.alive(now).size() + 1, now);
        return Uni.createFrom().voidItem();
    }

    private Uni<Void> renewShares() {
        Instant now = mClock.instant();
        mShares.renew(mConfig.current(), mEndpoints.capacity(now), now);
        return Uni.createFrom().voidItem();
    }

    private Uni<Void> watchConfig() {
        return mConfig.refresh(CONFIG_WAIT)
                .onFailure(CallException.class)
                .recoverWithUni(() -> mTimers.after(CONFIG_RETRY));
    }
}
