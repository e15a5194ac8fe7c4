package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.atmostonce.KeyAuthority;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.atmostonce.AtMostOnceController;
import io.bilberrygrade.serving.atmostonce.KeyRouter;
import io.bilberrygrade.serving.atmostonce.PlainServiceDispatch;
import io.bilberrygrade.serving.controller.ConfigController;
import io.bilberrygrade.serving.controller.ConfigGossip;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.GossipController;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.controller.ShareController;
import io.bilberrygrade.serving.controller.StartupController;
import io.bilberrygrade.serving.entry.PeerCalls;
import io.bilberrygrade.serving.entry.RequestPath;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.CallerHeaders;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;

/** One run of an entry daemon, put together from the real controllers and filters. */
final class SimulatedDaemon implements SimulatedPeer {
    private static final Duration CONFIG_WAIT = Duration.ofSeconds(4);
    private static final Duration CONFIG_RETRY = Duration.ofSeconds(1);
    private static final Duration STARTUP_PAUSE = Duration.ofMillis(100);
    private static final Duration CONFIG_PAUSE = Duration.ofMillis(300);
    private static final Duration LIST_PERIOD = Duration.ofSeconds(2);

    private final SimulatedProcess mProcess;
    private final PeerIdentity mSelf;
    private final Address mAddress;
    private final DrainController mDrain = new DrainController();
    private final EndpointController mEndpoints;
    private final ConfigController mConfig;
    private final MembershipController mMembership;
    private final GossipController mGossip;
    private final StartupController mStartup;
    private final AtMostOnceController mKeys;
    private final PeerCalls mPeerCalls;
    private final FilterChain mChain;
    private boolean mDrained;
    private long mNextRequest;

    SimulatedDaemon(
            Fleet fleet,
            EntrySettings settings,
            Address address,
            Incarnation incarnation,
            SimulatedProcess process) {
        mProcess = process;
        mSelf = new PeerIdentity(settings.instance(), incarnation);
        mAddress = address;
        mEndpoints = new EndpointController(settings.instance(), settings.policy());
        mConfig =
                new ConfigController(
                        fleet.platform().configOf(process),
                        settings.policy().enabled(Mechanism.VERSION_GUARD),
                        e -> {});
        mMembership =
                new MembershipController(
                        mSelf,
                        fleet.platform().instancesOf(process),
                        RandomSource.SPLIT_MIX_64.create(fleet.nextSeed()),
                        e -> {},
                        process.instant());
        mGossip = new GossipController(mMembership, fleet.network().of(this), process);
        ConfigGossip configGossip =
                new ConfigGossip(
                        mConfig, fleet.network().of(this), mMembership::address, mDrain::serving);
        mGossip.register(configGossip);
        SimulatedEngines engines = new SimulatedEngines(fleet::engine, process);
        mStartup = startup(configGossip, engines);
        KeyAuthority authority = new KeyAuthority(settings.peerKey().bytes());
        mKeys = keys(fleet, settings, authority);
        KeyRouter router =
                new KeyRouter(authority, mKeys, mMembership, fleet.network().of(this), process);
        GangController gangs =
                new GangController(
                        settings.instance(), mMembership, fleet.network().of(this), process);
        mPeerCalls = new PeerCalls(mGossip, router, gangs, configGossip);
        mChain = chain(fleet, settings, engines, router, gangs);
        listen(fleet);
    }

    private StartupController startup(ConfigGossip configGossip, SimulatedEngines engines) {
        return new StartupController(
                mConfig, configGossip, mMembership::publishedPeers, engines, mProcess, e -> {});
    }

    private FilterChain chain(
            Fleet fleet,
            EntrySettings settings,
            SimulatedEngines engines,
            KeyRouter router,
            GangController gangs) {
        ShareController shares = new ShareController(mSelf, settings.policy(), e -> {});
        mGossip.register(shares);
        return new RequestPath(settings, mProcess, e -> {})
                .chain(
                        new RequestPath.Parts(
                                mSelf.incarnation(),
                                engines,
                                router,
                                gangs,
                                mEndpoints,
                                shares,
                                mDrain,
                                mProcess,
                                RandomSource.SPLIT_MIX_64.create(fleet.nextSeed())));
    }

    private AtMostOnceController keys(Fleet fleet, EntrySettings settings, KeyAuthority authority) {
        PlainServiceDispatch dispatch =
                new PlainServiceDispatch(
                        fleet.service().of(mProcess), mEndpoints, mConfig::current, mProcess);
        return new AtMostOnceController(
                mSelf, authority, mDrain, dispatch, mProcess, settings.policy(), mProcess);
    }

    private void listen(Fleet fleet) {
        mConfig.onChange(mEndpoints::onDeployment);
        mConfig.onChange(d -> mGossip.spreadNews());
        mConfig.onChange(d -> fleet.oracle().inForce(mSelf, d.version()));
    }

    /** Starts the background work. */
    void start() {
        repeat(CONFIG_PAUSE, this::watchConfig);
        startUp();
        repeat(LIST_PERIOD, mMembership::refresh);
        repeat(MembershipController.ROUND, mGossip::round);
    }

    private void repeat(Duration pause, Supplier<Uni<Void>> work) {
        work.get()
                .onTermination()
                .invoke(() -> mProcess.schedule(pause, () -> repeat(pause, work)))
                .subscribe()
                .with(v -> {}, e -> {});
    }

    private Uni<Void> watchConfig() {
        return mConfig.refresh(CONFIG_WAIT)
                .onFailure()
                .recoverWithUni(() -> mProcess.after(CONFIG_RETRY));
    }

    private void startUp() {
        mStartup.advance(mGossip::spreadNews)
                .invoke(this::becomeReady)
                .subscribe()
                .with(
                        v -> {
                            if (!mStartup.done()) {
                                mProcess.schedule(STARTUP_PAUSE, this::startUp);
                            }
                        });
    }

    private void becomeReady() {
        if (mStartup.done() && !mDrain.serving()) {
            mDrain.becomeReady();
        }
    }

    /** Issues a key; empty while the daemon takes no requests. */
    Optional<IdempotencyKey> issueKey(TeamId team) {
        return mDrain.accepting() ? mKeys.issue(team) : Optional.empty();
    }

    /** Passes a request through the filter chain as it arrives. */
    Uni<Outcome> receive(RequestId id, Call call, CallerHeaders headers, SimulatedCaller caller) {
        Buffer body = Buffer.buffer("{}");
        Exchange exchange =
                new Exchange(
                        id, call, headers, body, mProcess.instant(), mConfig.current(), caller);
        return mChain.proceed(exchange);
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        return mPeerCalls.handle(from, message);
    }

    /** Drains and then ends the process, as a shutdown does. */
    void shutDown() {
        mDrain.drain()
                .subscribe()
                .with(
                        v -> {
                            mDrained = true;
                            mProcess.schedule(Duration.ofMillis(100), mProcess::kill);
                        });
    }

    /** Returns whether a shutdown ended with nothing running. */
    boolean drained() {
        return mDrained;
    }

    RequestId nextRequest() {
        return new RequestId(
                mSelf.instance() + "-" + mSelf.incarnation().value() + "-" + mNextRequest++);
    }

    @Override
    public SimulatedProcess process() {
        return mProcess;
    }

    @Override
    public PeerIdentity identity() {
        return mSelf;
    }

    @Override
    public Address address() {
        return mAddress;
    }

    long configVersion() {
        return mConfig.current().version();
    }

    boolean accepting() {
        return mDrain.accepting();
    }

    /** Returns the peers that this daemon takes for members. */
    ImmutableList<InstanceId> members() {
        return ImmutableList.copyOf(mMembership.alive(mProcess.instant()).keySet());
    }
}
