package io.bilberrygrade.serving.forward;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.room.FleetCapacities;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.core.room.RoomBounds;
import io.bilberrygrade.serving.contention.AdmissionController;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.cost.CostController;
import io.bilberrygrade.serving.entry.PeriodicTasks;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.http.ReconnectingCalls;
import io.bilberrygrade.serving.listen.PortOpener;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.metrics.PrometheusPage;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.TcpPeerNetwork;
import io.bilberrygrade.serving.relay.HandOver;
import io.bilberrygrade.serving.room.RecentSumsFilter;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.time.VertxTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** A forwarding daemon. All its state is confined to one event loop, so that it needs no locks. */
public final class ForwardDaemon extends AbstractVerticle {
    /** Stands for the request in events about answers to orders. */
    private static final String ORDER = "order";

    private static final Duration IDLE_CHECK_PERIOD = Duration.ofSeconds(1);

    private final ActiveSettings mSettings;
    private final PlatformBindings mPlatform;
    private final Clocks mClocks;
    private final ForwardMetrics mEvents;
    private final LongSupplier mDroppedLines;
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final DrainController mDrain = new DrainController();
    private final RunningRequests mRunning = new RunningRequests();
    private final WorkLedger mWork = new WorkLedger();
    private final PeerIdentity mSelf;
    private final FleetView mFleet;
    private final FleetMember mSelfMember;
    private TcpPeerNetwork mPeers;
    private DaemonPeers mExchanges;
    private StateController mState;
    private StateReader mReader;
    private ReadinessController mReadiness;
    private FrontServer mFront;
    private RelayService mRelays;
    private EndpointTracker mTracker;
    private ForwardContext mContext;
    private EndpointClient mClient;
    private Timers mTimers;
    private PeriodicTasks mTasks;
    private Optional<Uni<Void>> mStop = Optional.empty();

    /**
     * Creates the daemon; deploying it starts it. {@code droppedLines} returns the number of lost
     * log lines.
     */
    public ForwardDaemon(
            ForwardSettings settings,
            PlatformBindings platform,
            Clocks clocks,
            EventLog events,
            LongSupplier droppedLines) {
        mSettings = new ActiveSettings(settings);
        mPlatform = platform;
        mClocks = clocks;
        mEvents = new ForwardMetrics(mMetrics, events);
        mDroppedLines = droppedLines;
        mSelf = new PeerIdentity(settings.instance(), new Incarnation(clocks.now().toEpochMilli()));
        mSelfMember = new FleetMember(settings.peers(), mSelf.incarnation().value());
        mFleet =
                new FleetView(
                        mSelfMember,
                        settings.seeds(),
                        new FleetCapacities(settings.peers(), settings.options().capacity()));
    }

    /** Returns the log of this daemon's events. */
    public EventLog events() {
        return mEvents;
    }

    @Override
    public void start(Promise<Void> started) {
        mTimers = new VertxTimers(vertx);
        mTasks = new PeriodicTasks(mTimers, mRandom, mEvents);
        mClient = new EndpointClient(vertx, mPlatform.protocol());
        mPeers =
                new TcpPeerNetwork(
                        vertx, mSelf, mSettings.get().peerKey(), ControlTraffic.unexported());
        mState = new StateController(mSettings.get().keyStaleness(), mClocks, mTimers, mEvents);
        mReader = reader();
        if (mSettings.get().options().room().evacuation().isPresent()) {
            mState.evacuations().enable(mReader::readAgain);
        }
        mReadiness = new ReadinessController(mState, mEvents);
        RequestJournal journal =
                new RequestJournal(mSettings.get().instance(), mClocks, mRandom, mEvents);
        mRelays = relays();
        mContext = context();
        ImmutableList<RequestFilter<ForwardExchange>> filters = filters();
        mFront = front(filters, journal, 0);
        FrontServer peersFront =
                front(
                        mRelays.filters(filters, mReadiness::isReady),
                        journal,
                        HandOver.MAX_HEADER_BYTES);
        ReadinessServer readiness =
                new ReadinessServer(
                        vertx,
                        mPlatform.readinessPath(),
                        mReadiness::isReady,
                        new PrometheusPage(mMetrics));
        mExchanges = peers();
        registerGauges();
        mReader.start();
        open(readiness, peersFront).subscribe().with(v -> onListening(started), started::fail);
    }

    /** Opens the callers' port after the peers', so that a failed start has read no request. */
    private Uni<Void> open(ReadinessServer readiness, FrontServer peersFront) {
        ForwardSettings settings = mSettings.get();
        PortOpener ports = new PortOpener(settings.stopGrace(), mClocks.steady(), mTimers, mEvents);
        return ports.open(settings.peers(), mExchanges::listen)
                .invoke(mExchanges.exchange()::start)
                .chain(() -> mRelays.open(ports, peersFront))
                .chain(() -> ports.open(settings.callers(), mFront::listen))
                .chain(() -> ports.open(settings.readiness(), readiness::listen));
    }

    private FrontServer front(
            ImmutableList<RequestFilter<ForwardExchange>> filters,
            RequestJournal journal,
            int extraHeaderBytes) {
        return new FrontServer(
                vertx,
                mPlatform.protocol(),
                mState,
                new FilterChain<>(filters),
                journal,
                mDrain,
                mClocks,
                extraHeaderBytes);
    }

    private StateReader reader() {
        ReconnectingCalls storeCalls =
                new ReconnectingCalls(
                        () -> new HttpCalls(io.vertx.mutiny.core.Vertx.newInstance(vertx)),
                        mClocks::now,
                        mTimers,
                        reason -> mEvents.record(new ForwardEvent.StoreReconnected(reason)));
        return new StateReader(
                mPlatform.store(storeCalls),
                mState,
                mClocks,
                mTimers,
                mRandom,
                () -> mFleet.isAggregator(mClocks.now()));
    }

    private DaemonPeers peers() {
        return new DaemonPeers(
                vertx,
                mSettings.get(),
                mSelf,
                mSelfMember,
                mPeers,
                mFleet,
                mWork,
                mReader,
                mPlatform.configDecoder(),
                mRelays.naming(),
                mContext);
    }

    private EndpointTracker tracker() {
        RoomBounds bounds = mSettings.get().options().room();
        return new EndpointTracker(mState, mWork, bounds, mClocks, mEvents);
    }

    private RelayService relays() {
        return new RelayService(
                mSettings.get(),
                mSelfMember,
                mPeers,
                mFleet,
                mState,
                mClient,
                mClocks,
                mTimers,
                mRandom,
                mEvents);
    }

    private ForwardContext context() {
        mTracker = tracker();
        CostController cost =
                new CostController(this::traits, mWork.receivedSums(), mEvents, mMetrics);
        QuarantineController quarantine = new QuarantineController(mFleet, mEvents);
        quarantine.onNews(() -> mExchanges.exchange().reportNow());
        EndpointStatusUpdater endpointStatus =
                new EndpointStatusUpdater(mState, mTracker, mRandom, mEvents);
        return new ForwardContext(
                mState,
                mTracker,
                endpointStatus,
                planner(cost),
                new RetryBudgets(
                        mSettings.get(),
                        () -> mFleet.size(mClocks.now()),
                        () -> mFleet.peakSize(mClocks.now())),
                mClient,
                memory(endpointStatus),
                () -> mExchanges.exchange().requestPermits(),
                quarantine,
                crashes(quarantine),
                cost,
                mClocks,
                mTimers,
                mRandom,
                mEvents,
                this::traits,
                new AdmissionController(
                        this::traits, () -> mFleet.size(mClocks.now()), mRandom, mEvents),
                mPlatform.protocol(),
                mRelays.reach(),
                mRelays.authenticator());
    }

    private ImmutableList<RequestFilter<ForwardExchange>> filters() {
        return ImmutableList.of(
                new DrainFilter(mDrain, mRunning),
                new AwaitStateFilter(mState, mReader),
                new FindRouteFilter(mState),
                new FindTeamFilter(mState),
                new AcceptFilter(mEvents),
                recentSums(),
                new DispatchFilter(mContext));
    }

    private CrashDetector crashes(QuarantineController quarantine) {
        return new CrashDetector(
                quarantine,
                mClient::refusesConnections,
                mRelays.reach()::isCutFrom,
                mClocks,
                mTimers);
    }

    private RecentSumsFilter<ForwardExchange> recentSums() {
        RecentSumsFilter<ForwardExchange> filter =
                new RecentSumsFilter<>(
                        e -> e.head().prompt().map(p -> e.route().goal()),
                        this::traits,
                        () -> mFleet.size(mClocks.now()),
                        () -> mExchanges.exchange(),
                        mClocks::now,
                        mTimers);
        filter.registerGauges(mEvents::registerGauge);
        return filter;
    }

    private AttemptPlanner planner(CostController cost) {
        AttemptPlanner planner =
                new AttemptPlanner(
                        mTracker,
                        mSettings.get().dataCentre(),
                        mRandom,
                        cost,
                        this::traits,
                        mEvents);
        mEvents.registerGauge("strict_stream_engines", planner::strictEngines);
        return planner;
    }

    private MemoryReservations memory(EndpointStatusUpdater endpointStatus) {
        EndpointAnswerListener listener =
                (engine, head) ->
                        endpointStatus.apply(
                                engine.run(), head, ORDER, mClocks.now(), mClocks.now());
        return new MemoryReservations(
                mPlatform.memory(vertx, listener),
                mSettings.get().instance(),
                mRandom,
                mTimers,
                mClocks,
                mEvents);
    }

    private void registerGauges() {
        mRelays.registerGauges(mEvents);
        new ForwardGauges(mContext, mExchanges.rateLimits(), mFleet).register(mEvents);
        mEvents.registerGauge("running_requests", mDrain::runningRequests);
        mEvents.registerGauge("uneven_fleet", () -> traits().uneven() ? 1 : 0);
        mEvents.registerGauge("log_lines_dropped_total", mDroppedLines);
    }

    private FleetTraits traits() {
        return new FleetTraits(
                mSettings.get().options().contended(), mFleet.capacities().isUneven(mClocks.now()));
    }

    private void onListening(Promise<Void> started) {
        mEvents.record(
                new LifecycleEvent.Started(
                        mSettings.get().instance().value(),
                        mSelf.incarnation().value(),
                        mSettings.get().callers().port(),
                        mSettings.get().peers().port()));
        mTasks.repeat(
                "idle connections",
                IDLE_CHECK_PERIOD,
                () -> {
                    mFront.enforceIdleLimit(mClocks.now());
                    mRelays.enforceIdleLimit(mClocks.now());
                    mReadiness.isReady();
                    mTracker.removeUnknown(mClocks.now());
                    mContext.cost().retain(mTracker::isRegistered);
                    mTracker.cold().logChanges();
                    return Uni.createFrom().voidItem();
                });
        started.complete();
    }

    /**
     * Drains the daemon: reports not ready, still serves requests until the platform has noticed,
     * then refuses new ones. Completes when all running requests have ended, or shortly before the
     * process would be killed, once those that still run have got a final answer. A second call
     * changes nothing. Safe to call from any thread.
     */
    public Uni<Void> drain() {
        return Uni.createFrom()
                .emitter(e -> context.runOnContext(v -> drainOnContext(e::complete)));
    }

    /**
     * Applies reloaded settings, and logs which have changed and which need a restart. Safe to call
     * from any thread.
     */
    public void reload(ForwardSettings newer) {
        context.runOnContext(
                v -> {
                    ActiveSettings.Change change = mSettings.replace(newer);
                    mState.setKeyStaleness(mSettings.get().keyStaleness());
                    mFleet.setSeeds(mSettings.get().seeds());
                    if (!change.isEmpty()) {
                        mEvents.record(
                                new ForwardEvent.SettingsReloaded(
                                        change.applied().toString(),
                                        change.pendingRestart().toString()));
                    }
                });
    }

    private void drainOnContext(Consumer<Void> done) {
        if (mStop.isEmpty()) {
            mStop =
                    Optional.of(
                            new PlannedStop(mFront, mRunning, mReadiness, mDrain, mTimers, mEvents)
                                    .run(mSettings.get().stopGrace())
                                    .memoize()
                                    .indefinitely());
        }
        mStop.get().subscribe().with(v -> done.accept(null));
    }

    @Override
    public void stop() {
        mTasks.close();
        mReader.close();
        mClient.close();
        mPeers.close();
        mEvents.record(new LifecycleEvent.Stopped(mDrain.runningRequests()));
    }
}
