package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.serving.exchange.ExchangeRounds;
import io.bilberrygrade.serving.fuzz.SimulatedNetwork;
import io.bilberrygrade.serving.fuzz.SimulatedPeer;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.relay.RelayNaming;
import io.bilberrygrade.serving.room.SlownessWatch;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/** State and peer exchange of one daemon on virtual time. */
final class RestoreTestDaemon implements SimulatedPeer {
    static final Duration STALENESS = Duration.ofSeconds(5);

    final SimulatedProcess mProcess;
    private final Address mAddress;
    private final PeerIdentity mIdentity;
    private final VirtualTime mTime;
    final StateController mState;
    private final StateReader mReader;
    private final WorkExchange mExchange;
    private final PeerCallDispatcher mCalls;

    RestoreTestDaemon(
            int number,
            ImmutableList<Address> seeds,
            VirtualTime time,
            PublishedState store,
            SimulatedProcess process,
            SimulatedNetwork network,
            ConfigDecoder decoder,
            UniformRandomProvider random) {
        mTime = time;
        mProcess = process;
        mAddress = addressOf(number);
        mIdentity = identity(number, time);
        FleetMember self = self();
        FleetView fleet = new FleetView(self, seeds);
        Clocks clocks = new Clocks(process, process);
        mState = new StateController(STALENESS, clocks, process, e -> {});
        mReader =
                new StateReader(
                        store,
                        mState,
                        clocks,
                        process,
                        random,
                        () -> fleet.isAggregator(time.now()));
        mState.evacuations().enable(mReader::readAgain);
        ConfigExchange configExchange =
                new ConfigExchange(mState, network.of(this), decoder, process, e -> {});
        WorkLedger ledger = new WorkLedger();
        EndpointTracker tracker = new EndpointTracker(mState.endpoints(), ledger);
        mExchange =
                new WorkExchange(
                        network.of(this),
                        fleet,
                        self,
                        ledger,
                        new ConfirmationExchange(mState, mReader, configExchange),
                        mState,
                        new StoreRelay(mState, mReader, clocks),
                        new RateLimitExchange(fleet, self, tracker, e -> {}),
                        new CrashExchange(fleet, new QuarantineController(fleet, e -> {})),
                        new SlownessWatch(fleet, e -> {}),
                        noRelays(self, time, random),
                        clocks,
                        new ExchangeRounds(process, clocks::now, e -> {}));
        mCalls = new PeerCallDispatcher(mExchange, configExchange);
        network.attach(mAddress, this);
    }

    private static RelayNaming noRelays(
            FleetMember self, VirtualTime time, UniformRandomProvider random) {
        return new RelayNaming(self, DeploymentOptions.NONE, () -> false, time::now, random);
    }

    private static PeerIdentity identity(int number, VirtualTime time) {
        return new PeerIdentity(
                new InstanceId("i" + number), new Incarnation(time.now().toEpochMilli()));
    }

    private FleetMember self() {
        return new FleetMember(mAddress, mIdentity.incarnation().value());
    }

    static Address addressOf(int number) {
        return new Address("10.0.0." + (number + 1), 1);
    }

    void start() {
        mProcess.schedule(
                Duration.ZERO,
                () -> {
                    mReader.start();
                    mExchange.start();
                });
    }

    /** Returns the position up to which the daemon has read the store. */
    StorePosition position() {
        return mReader.history().position();
    }

    long version() {
        return mState.version();
    }

    long era() {
        return mState.era();
    }

    /** Returns whether the daemon would report ready to the platform. */
    boolean isReady() {
        return mState.isComplete() && mState.isFresh();
    }

    boolean isFresh() {
        return mState.isFresh();
    }

    boolean honours(String key) {
        return mState.isFresh()
                && mState.config()
                        .map(ForwardingConfig::keys)
                        .flatMap(k -> k.team(key))
                        .isPresent();
    }

    ImmutableSet<EndpointRun> usable() {
        return mState.endpoints().usable(RestoredStore.SERVICE, mTime.now()).stream()
                .map(RegisteredEndpoint::run)
                .collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public SimulatedProcess process() {
        return mProcess;
    }

    @Override
    public PeerIdentity identity() {
        return mIdentity;
    }

    @Override
    public Address address() {
        return mAddress;
    }

    @Override
    public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
        return mCalls.handle(from, message);
    }
}
