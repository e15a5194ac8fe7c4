package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.core.room.ColdBounds;
import io.bilberrygrade.core.room.DeploymentOptions;
import io.bilberrygrade.core.room.FleetCapacities;
import io.bilberrygrade.core.room.RoomBounds;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.exchange.ExchangeRounds;
import io.bilberrygrade.serving.fuzz.SimulatedNetwork;
import io.bilberrygrade.serving.fuzz.SimulatedPeer;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.relay.RelayDirectory;
import io.bilberrygrade.serving.relay.RelayNaming;
import io.bilberrygrade.serving.room.ColdController;
import io.bilberrygrade.serving.room.SlownessWatch;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Fleet on virtual time of the parts of daemons that take part in the exchange of work. */
final class ExchangeTestFleet {
    private static final Duration STALENESS = Duration.ofSeconds(5);
    private static final int MAX_START_DELAY_MILLIS = 300;

    final VirtualTime mTime = new VirtualTime();
    final UniformRandomProvider mRandom;
    final SimulatedNetwork mNetwork;
    final List<Member> mMembers = new ArrayList<>();
    long mCalls;

    /** Capacity that a member states, by its number. */
    IntFunction<Optional<Capacity>> mCapacity = number -> Optional.empty();

    /** Address at which a member takes over requests, by its number. */
    IntFunction<Optional<Address>> mRelay = number -> Optional.empty();

    private final Optional<ColdBounds> mColdBounds;
    private final Optional<ForwardingConfig> mConfig;

    ExchangeTestFleet(long seed) {
        this(seed, Optional.empty(), Optional.empty());
    }

    /** Creates a fleet that limits the requests to endpoints that are cold by a configuration. */
    ExchangeTestFleet(
            long seed, Optional<ColdBounds> coldBounds, Optional<ForwardingConfig> config) {
        mColdBounds = coldBounds;
        mConfig = config;
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mNetwork = new SimulatedNetwork(mRandom);
    }

    Instant now() {
        return mTime.now();
    }

    /** Adds members and starts them at nearly the same time. */
    ImmutableList<Member> add(int count) {
        ImmutableList.Builder<Member> builder = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            builder.add(new Member(mMembers.size() + i));
        }
        ImmutableList<Member> added = builder.build();
        mMembers.addAll(added);
        added.forEach(Member::start);
        return added;
    }

    /** Kills a member and starts it again without what it knew. */
    Member restart(int number) {
        mMembers.get(number).mProcess.kill();
        Member next = new Member(number);
        mMembers.set(number, next);
        next.start();
        return next;
    }

    Member member(Address address) {
        return mMembers.stream().filter(m -> m.address().equals(address)).findFirst().orElseThrow();
    }

    /** Drops all messages between two groups. */
    void cut(List<Member> group, List<Member> others) {
        for (Member a : group) {
            for (Member b : others) {
                mNetwork.cut(a.address(), b.address());
                mNetwork.cut(b.address(), a.address());
            }
        }
    }

    private static Address addressOf(int number) {
        return new Address("10.0." + number / 200 + "." + number % 200, 1);
    }

    /** Returns the first three addresses, which may be down like any other. */
    private static ImmutableList<Address> seeds() {
        return ImmutableList.of(addressOf(0), addressOf(1), addressOf(2));
    }

    /** The parts of one daemon that take part in the exchange. */
    final class Member implements SimulatedPeer {
        final int mNumber;
        final SimulatedProcess mProcess = new SimulatedProcess(mTime, Duration.ZERO);
        final WorkLedger mLedger = new WorkLedger();
        final FleetView mFleet;
        final StateController mState;
        final EndpointTracker mTracker;
        final QuarantineController mQuarantine;
        final RelayNaming mRelays;
        final RelayDirectory mDirectory;
        final WorkExchange mExchange;
        final List<Event> mEvents = new ArrayList<>();
        long mHandled;
        boolean mCutOff;
        boolean mCallsThrow;
        private final PeerIdentity mIdentity;
        private final PeerCallDispatcher mDispatcher;

        private Member(int number) {
            mNumber = number;
            mIdentity =
                    new PeerIdentity(
                            new InstanceId("i" + number),
                            new Incarnation(mTime.now().toEpochMilli()));
            FleetMember self = new FleetMember(address(), mIdentity.incarnation().value());
            mFleet =
                    new FleetView(
                            self, seeds(), new FleetCapacities(address(), mCapacity.apply(number)));
            mQuarantine = new QuarantineController(mFleet, e -> {});
            Clocks clocks = new Clocks(mProcess, mProcess);
            mState = new StateController(STALENESS, clocks, mProcess, e -> {});
            ColdController cold =
                    new ColdController(
                            mState.endpoints(),
                            () -> mConfig,
                            mColdBounds,
                            mProcess,
                            mProcess,
                            e -> {});
            mTracker = new EndpointTracker(mState.endpoints(), mLedger, cold);
            mRelays =
                    new RelayNaming(
                            self, options(number), () -> mCutOff, mProcess::instant, mRandom);
            mDirectory =
                    new RelayDirectory(this::call, mFleet, mRelays, mProcess::instant, mRandom);
            ConfigExchange configExchange =
                    new ConfigExchange(
                            mState,
                            (peer, message, timeout) -> Uni.createFrom().nothing(),
                            Configs::decode,
                            mProcess,
                            e -> {});
            mExchange = exchange(self, clocks, configExchange);
            mDispatcher = new PeerCallDispatcher(mExchange, configExchange);
            mQuarantine.onNews(mExchange::reportNow);
        }

        private WorkExchange exchange(
                FleetMember self, Clocks clocks, ConfigExchange configExchange) {
            StateReader reader =
                    new StateReader(
                            new SilentStore(), mState, clocks, mProcess, mRandom, () -> false);
            return new WorkExchange(
                    this::exchangeCall,
                    mFleet,
                    self,
                    mLedger,
                    new ConfirmationExchange(mState, reader, configExchange),
                    mState,
                    new StoreRelay(mState, reader, clocks),
                    new RateLimitExchange(mFleet, self, mTracker, e -> {}),
                    new CrashExchange(mFleet, mQuarantine),
                    new SlownessWatch(mFleet, mEvents::add),
                    mRelays,
                    clocks,
                    new ExchangeRounds(mProcess, clocks::now, mEvents::add));
        }

        private DeploymentOptions options(int number) {
            return new DeploymentOptions(
                    false, mCapacity.apply(number), RoomBounds.NONE, mRelay.apply(number));
        }

        private Uni<PeerMessage> call(Address peer, PeerMessage message, Duration timeout) {
            mCalls++;
            return mNetwork.of(this).call(peer, message, timeout);
        }

        private Uni<PeerMessage> exchangeCall(Address peer, PeerMessage message, Duration timeout) {
            if (mCallsThrow) {
                throw new IllegalStateException("injected");
            }
            return call(peer, message, timeout);
        }

        private void start() {
            mNetwork.attach(address(), this);
            mProcess.schedule(
                    Duration.ofMillis(mRandom.nextInt(MAX_START_DELAY_MILLIS)), mExchange::start);
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
            return addressOf(mNumber);
        }

        @Override
        public Uni<PeerMessage> handle(PeerIdentity from, PeerMessage message) {
            mHandled++;
            return mDispatcher.handle(from, message);
        }
    }

    /** Store that never answers. */
    private static final class SilentStore implements PublishedState {
        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            return Uni.createFrom().nothing();
        }

        @Override
        public void reconnect() {}
    }
}
