package io.bilberrygrade.serving.forward;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.entry.PeriodicTasks;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.metrics.PrometheusPage;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerServer;
import io.bilberrygrade.serving.peer.TcpPeerNetwork;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.time.VertxTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One forwarding daemon. All its state is touched on one event loop only, so that no part of it
 * needs a lock.
 */
public final class ForwardDaemon extends AbstractVerticle {
    /**
     * Time for which a stopping daemon still takes requests: the platform asks every second and
     * needs two refusals before it sends callers elsewhere.
     */
    private static final Duration LEAVE_TIME = Duration.ofMillis(2_300);

    /** Time before the end of the platform's grace at which what still runs is broken off. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    private static final Duration IDLE_CHECK_PERIOD = Duration.ofSeconds(1);

    private final SettingsInForce mSettings;
    private final ForwardOutside mOutside;
    private final Clocks mClocks;
    private final ForwardMetrics mEvents;
    private final LongSupplier mDroppedLines;
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final DrainController mDrain = new DrainController();
    private final WorkLedger mWork = new WorkLedger();
    private final PeerIdentity mSelf;
    private final FleetView mFleet;
    private final FleetMember mMember;
    private TcpPeerNetwork mPeers;
    private WorkExchange mExchange;
    private StateController mState;
    private StateReader mReader;
    private ReadinessController mReadiness;
    private FrontServer mFront;
    private EndpointBook mBook;
    private EndpointClient mClient;
    private Timers mTimers;
    private PeriodicTasks mTasks;

    /** Creates the daemon; deploying it starts it. {@code droppedLines} counts lost log lines. */
    public ForwardDaemon(
            ForwardSettings settings,
            ForwardOutside outside,
            Clocks clocks,
            EventLog events,
            LongSupplier droppedLines) {
        mSettings = new SettingsInForce(settings);
        mOutside = outside;
        mClocks = clocks;
        mEvents = new ForwardMetrics(mMetrics, events);
        mDroppedLines = droppedLines;
        mSelf = new PeerIdentity(settings.instance(), new Incarnation(clocks.now().toEpochMilli()));
        mMember = new FleetMember(settings.peers(), mSelf.incarnation().value());
        mFleet = new FleetView(mMember, settings.seeds());
    }

    /** Returns where this daemon's events go. */
    public EventLog events() {
        return mEvents;
    }

    @Override
    public void start(Promise<Void> started) {
        mTimers = new VertxTimers(vertx);
        mTasks = new PeriodicTasks(mTimers, mRandom, mEvents);
        mClient = new EndpointClient(vertx, mOutside.protocol());
        mState = new StateController(mSettings.get().keyStaleness(), mClocks, mTimers, mEvents);
        mReader = reader();
        mReadiness = new ReadinessController(mState, mEvents);
        RequestJournal journal =
                new RequestJournal(mSettings.get().instance(), mClocks, mRandom, mEvents);
        mFront = new FrontServer(vertx, mOutside.protocol(), mState, chain(), journal, mClocks);
        ReadinessServer readiness =
                new ReadinessServer(
                        vertx,
                        mOutside.readinessPath(),
                        mReadiness::ready,
                        new PrometheusPage(mMetrics));
        PeerServer peers = peers();
        showState();
        mReader.start();
        mFront.listen(mSettings.get().callers())
                .chain(() -> readiness.listen(mSettings.get().readiness()))
                .chain(
                        () ->
                                peers.listen(
                                        mSettings.get().peers().host(),
                                        mSettings.get().peers().port()))
                .invoke(mExchange::start)
                .subscribe()
                .with(v -> opened(started), started::fail);
    }

    private StateReader reader() {
        return new StateReader(
                mOutside.store(vertx),
                mState,
                mClocks,
                mTimers,
                mRandom,
                () -> mFleet.isAggregator(mClocks.now()));
    }

    private PeerServer peers() {
        mPeers =
                new TcpPeerNetwork(
                        vertx, mSelf, mSettings.get().peerKey(), ControlTraffic.unread());
        ConfigHandOver handOver =
                new ConfigHandOver(mState, mPeers, mOutside.configDecoder(), mTimers, mEvents);
        mExchange = exchange(new Vouching(mState, mReader, handOver));
        return new PeerServer(
                vertx,
                mSelf,
                mSettings.get().peerKey(),
                new PeerCalls(mExchange, handOver),
                ControlTraffic.unread(),
                mEvents);
    }

    private WorkExchange exchange(Vouching vouching) {
        return new WorkExchange(
                mPeers,
                mFleet,
                mMember,
                mWork,
                vouching,
                mState,
                new StoreRelay(mState, mReader, mClocks),
                mClocks,
                mTimers);
    }

    private FilterChain<ForwardExchange> chain() {
        mBook = new EndpointBook(mState.endpoints(), mWork);
        ForwardParts parts =
                new ForwardParts(
                        mState,
                        mBook,
                        new SendPlanner(mBook, mSettings.get().dataCentre(), mRandom),
                        new RetryBudgets(mSettings.get(), () -> mFleet.size(mClocks.now())),
                        mClient,
                        new MemoryReservations(
                                mOutside.memory(vertx),
                                mSettings.get().instance(),
                                mRandom,
                                mTimers,
                                mClocks,
                                mEvents),
                        mClocks,
                        mTimers,
                        mRandom,
                        mEvents);
        return new FilterChain<>(
                ImmutableList.of(
                        new DrainFilter(mDrain),
                        new KnowledgeFilter(mState, mReader),
                        new FindRouteFilter(mState),
                        new FindTeamFilter(mState),
                        new AcceptFilter(mEvents),
                        new DispatchFilter(parts)));
    }

    private void showState() {
        mEvents.show("running_requests", mDrain::running);
        mEvents.show("config_version", () -> mState.config().map(c -> c.version()).orElse(0L));
        mEvents.show("store_era", mState::era);
        mEvents.show(
                "confirmed_ago_millis",
                () -> mState.confirmedAgo().map(Duration::toMillis).orElse(-1L));
        mEvents.show("peers", () -> mFleet.size(mClocks.now()) - 1);
        mEvents.show("log_lines_dropped_total", mDroppedLines);
    }

    private void opened(Promise<Void> started) {
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
                    mReadiness.ready();
                    mBook.forgetUnknown(mClocks.now());
                    return Uni.createFrom().voidItem();
                });
        started.complete();
    }

    /**
     * Asks for no more callers, serves those that come until the platform has noticed, refuses
     * later ones and completes when all running requests have ended, or shortly before the process
     * would be killed. Safe to call from any thread.
     */
    public Uni<Void> drain() {
        return Uni.createFrom()
                .emitter(e -> context.runOnContext(v -> drainOnContext(e::complete)));
    }

    /**
     * Takes over settings that were read again and logs what has changed and what waits for the
     * next start. Safe to call from any thread.
     */
    public void reload(ForwardSettings newer) {
        context.runOnContext(
                v -> {
                    SettingsInForce.Change change = mSettings.replace(newer);
                    mState.setKeyStaleness(mSettings.get().keyStaleness());
                    mFleet.setSeeds(mSettings.get().seeds());
                    if (!change.none()) {
                        mEvents.record(
                                new ForwardEvent.SettingsReloaded(
                                        change.inForce().toString(), change.atStart().toString()));
                    }
                });
    }

    private void drainOnContext(Consumer<Void> done) {
        mReadiness.stop();
        mEvents.record(new LifecycleEvent.DrainStarted(mDrain.running()));
        Uni<Void> idle =
                mTimers.after(LEAVE_TIME)
                        .invoke(() -> mFront.closeIdleFor(Duration.ZERO, mClocks.now()))
                        .chain(mDrain::drain);
        Uni.join()
                .first(idle, mTimers.after(mSettings.get().stopGrace().minus(EXIT_MARGIN)))
                .toTerminate()
                .subscribe()
                .with(v -> done.accept(null));
    }

    @Override
    public void stop() {
        mTasks.close();
        mReader.close();
        mClient.close();
        mPeers.close();
        mEvents.record(new LifecycleEvent.Stopped(mDrain.running()));
    }
}
