package io.bilberrygrade.serving.entry;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.serving.engine.HttpModelEngine;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.http.CallerApi;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.http.KeysApi;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerServer;
import io.bilberrygrade.serving.peer.TcpPeerNetwork;
import io.bilberrygrade.serving.platform.ConfigParts;
import io.bilberrygrade.serving.platform.DeploymentParser;
import io.bilberrygrade.serving.platform.HttpConfigSource;
import io.bilberrygrade.serving.platform.HttpInstanceListSource;
import io.bilberrygrade.serving.report.AuditTrail;
import io.bilberrygrade.serving.service.HttpPlainService;
import io.bilberrygrade.serving.settings.EntrySettings;
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
import java.time.InstantSource;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Entry daemon. All its state is confined to one event loop, so that it needs no locks. */
public final class EntryDaemon extends AbstractVerticle {
    /**
     * Time for which a drained daemon keeps refusing requests on connections that are still open.
     */
    private static final Duration DRAIN_LINGER = Duration.ofSeconds(2);

    private final EntrySettings mSettings;
    private final PeerIdentity mSelf;
    private final InstantSource mClock;
    private final AuditTrail mEvents;
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private Controllers mControllers;
    private Observability mObservability;
    private HttpCalls mCalls;
    private TcpPeerNetwork mPeers;
    private PeerServer mPeerServer;
    private HttpServer mServer;
    private Timers mTimers;
    private PeriodicTasks mTasks;
    private long mNextRequest;

    /** Creates the daemon; deploying it starts it. */
    public EntryDaemon(
            EntrySettings settings, Incarnation incarnation, InstantSource clock, EventLog events) {
        mSettings = settings;
        mSelf = new PeerIdentity(settings.instance(), incarnation);
        mClock = clock;
        mEvents = new AuditTrail(events, clock);
    }

    @Override
    public void start(Promise<Void> started) {
        ControlTraffic traffic = new ControlTraffic(mMetrics);
        mTimers = new VertxTimers(vertx);
        mTasks = new PeriodicTasks(mTimers, mRandom, mEvents);
        mCalls = new HttpCalls(io.vertx.mutiny.core.Vertx.newInstance(vertx), traffic);
        mPeers = new TcpPeerNetwork(vertx, mSelf, mSettings.peerKey(), traffic);
        mControllers = new Controllers(mSettings, mSelf, createDependencies(), mEvents);
        mObservability =
                new Observability(
                        mSettings, mSelf, mClock, mMetrics, mEvents, mControllers, mPeers);
        mPeerServer =
                new PeerServer(
                        vertx,
                        mSelf,
                        mSettings.peerKey(),
                        mObservability.withReports(mControllers.peerCalls()),
                        traffic,
                        mEvents);
        mServer = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        listen(started);
    }

    private DaemonDependencies createDependencies() {
        return new DaemonDependencies(
                new HttpConfigSource(mCalls, mSettings.configurationService()),
                this::parseOnWorker,
                new HttpInstanceListSource(mCalls, mSettings.instanceList()),
                mPeers,
                new HttpModelEngine(mCalls, mClock),
                new HttpPlainService(mCalls),
                mTimers,
                mClock,
                mRandom);
    }

    /** Parses parts on a worker thread; the result is delivered on the event loop. */
    private Uni<Deployment> parseOnWorker(ConfigParts parts) {
        return Uni.createFrom()
                .emitter(
                        e ->
                                vertx.executeBlocking(() -> DeploymentParser.parse(parts))
                                        .onSuccess(e::complete)
                                        .onFailure(e::fail));
    }

    private void listen(Promise<Void> started) {
        mServer.requestHandler(createRouter())
                .listen(mSettings.callerPort(), mSettings.host())
                .onFailure(started::fail)
                .onSuccess(
                        s ->
                                mPeerServer
                                        .listen(mSettings.host(), mSettings.peerPort())
                                        .subscribe()
                                        .with(port -> onListening(started, port), started::fail));
    }

    private void onListening(Promise<Void> started, int peerPort) {
        mEvents.record(
                new LifecycleEvent.Started(
                        mSettings.instance().value(),
                        mSelf.incarnation().value(),
                        mServer.actualPort(),
                        peerPort));
        mControllers.start(mTasks);
        mTasks.repeat("losses", Observability.LOSS_CHECK_PERIOD, mObservability::findLostRequests);
        started.complete();
    }

    /** Returns the port on which callers are served, once the daemon is deployed. */
    public int callerPort() {
        return mServer.actualPort();
    }

    /**
     * Stops accepting requests. Completes once the running ones have finished, or at the drain
     * timeout if some are still running. Safe to call from any thread.
     */
    public Uni<Void> drain() {
        return Uni.createFrom()
                .emitter(e -> context.runOnContext(v -> drainOnContext(e::complete)));
    }

    private void drainOnContext(Consumer<Void> done) {
        mEvents.record(new LifecycleEvent.DrainStarted(mControllers.drain().runningRequests()));
        Uni<Void> idle = mControllers.drain().drain().call(() -> mTimers.after(DRAIN_LINGER));
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
        mEvents.record(new LifecycleEvent.Stopped(mControllers.drain().runningRequests()));
    }

    private Router createRouter() {
        CallerApi api =
                new CallerApi(
                        mControllers.chain(),
                        mControllers.config()::current,
                        this::nextRequestId,
                        mClock,
                        mObservability.requests(),
                        mEvents);
        Router router = Router.router(vertx);
        router.route().handler(this::closeConnectionWhileDraining);
        api.mount(router, mSettings.maxBodyBytes());
        new KeysApi(
                        mControllers.keys(),
                        mControllers.config()::current,
                        this::nextRequestId,
                        mControllers.drain())
                .mount(router);
        mObservability.mount(router);
        return router;
    }

    /**
     * Closes the connection after the response while draining, so that callers reconnect to another
     * instance.
     */
    private void closeConnectionWhileDraining(RoutingContext call) {
        if (mControllers.drain().isDraining()) {
            call.response().putHeader("Connection", "close");
        }
        call.next();
    }

    private RequestId nextRequestId() {
        String id = mSettings.instance() + "-" + mSelf.incarnation().value() + "-" + mNextRequest++;
        return new RequestId(id);
    }
}
