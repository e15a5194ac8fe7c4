package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.entry.Controllers;
import io.bilberrygrade.serving.entry.DaemonDependencies;
import io.bilberrygrade.serving.entry.PeriodicTasks;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.CallerHeaders;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.platform.DeploymentLoader;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One incarnation of an entry daemon, built from the production controllers and filters. */
final class SimulatedDaemon implements SimulatedPeer {
    private final SimulatedProcess mProcess;
    private final PeerIdentity mSelf;
    private final Address mAddress;
    private final Controllers mControllers;
    private final FilterChain<Exchange> mChain;
    private final PeerHandler mPeerCalls;
    private final PeriodicTasks mTasks;
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
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(fleet.nextSeed());
        DaemonDependencies dependencies =
                new DaemonDependencies(
                        fleet.platform().configOf(process),
                        DeploymentLoader.synchronous(),
                        fleet.platform().instancesOf(process),
                        fleet.network().of(this),
                        new SimulatedEngineClient(fleet::engine, process),
                        fleet.service().of(process),
                        process,
                        process,
                        random);
        mControllers = new Controllers(settings, mSelf, dependencies, e -> {});
        mChain = mControllers.chain();
        mPeerCalls = mControllers.peerCalls();
        mTasks = new PeriodicTasks(process, random, e -> {});
        mControllers.config().onChange(d -> fleet.oracle().recordConfigVersion(mSelf, d.version()));
    }

    /** Starts the periodic tasks. */
    void start() {
        mControllers.start(mTasks);
    }

    /** Issues a key; empty if the daemon accepts no requests. */
    Optional<IdempotencyKey> issueKey(TeamId team) {
        return mControllers.drain().isAccepting()
                ? mControllers.keys().issue(team)
                : Optional.empty();
    }

    /** Passes a received request through the filter chain. */
    Uni<Outcome> receive(RequestId id, Call call, CallerHeaders headers, SimulatedCaller caller) {
        Buffer body = Buffer.buffer("{}");
        Exchange exchange =
                new Exchange(
                        id,
                        call,
                        headers,
                        body,
                        mProcess.instant(),
                        mControllers.config().current(),
                        caller);
        return mChain.proceed(exchange);
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        return mPeerCalls.handle(from, message);
    }

    /** Drains and then ends the process. */
    void shutDown() {
        mControllers
                .drain()
                .drain()
                .subscribe()
                .with(
                        v -> {
                            mDrained = true;
                            mProcess.schedule(Duration.ofMillis(100), mProcess::kill);
                        });
    }

    /** Returns whether a shutdown has finished draining. */
    boolean isDrained() {
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
        return mControllers.config().current().version();
    }

    boolean isAccepting() {
        return mControllers.drain().isAccepting();
    }

    /** Returns the peers that this daemon considers alive. */
    ImmutableList<InstanceId> members() {
        return ImmutableList.copyOf(mControllers.membership().alive(mProcess.instant()).keySet());
    }
}
