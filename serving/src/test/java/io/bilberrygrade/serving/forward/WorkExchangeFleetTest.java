package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.fuzz.SimulatedNetwork;
import io.bilberrygrade.serving.fuzz.SimulatedPeer;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import io.bilberrygrade.serving.fuzz.VirtualTime;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of up to 410 daemons on virtual time, whose members freeze, die and restart. */
final class WorkExchangeFleetTest {
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final EndpointWork ONE_CALL = new EndpointWork(1, 0, 0, 1, 5_000);
    private static final StorePosition READ_POSITION = new StorePosition(1, 9);
    private static final Duration STALENESS = Duration.ofSeconds(5);

    /**
     * Time within which all members count the work of all: the lifetime of a report and one second
     * more.
     */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(6);

    private final VirtualTime mTime = new VirtualTime();
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(7);
    private final SimulatedNetwork mNetwork = new SimulatedNetwork(mRandom);
    private final List<Member> mMembers = new ArrayList<>();
    private long mCalls;

    /** The parts of one daemon that take part in the exchange. */
    private final class Member implements SimulatedPeer {
        private final int mNumber;
        private final SimulatedProcess mProcess = new SimulatedProcess(mTime, Duration.ZERO);
        private final WorkLedger mLedger = new WorkLedger();
        private final PeerIdentity mIdentity;
        private final FleetView mFleet;
        private final StateController mState;
        private final WorkExchange mExchange;
        private long mHandled;

        Member(int number) {
            mNumber = number;
            mIdentity =
                    new PeerIdentity(
                            new InstanceId("i" + number),
                            new Incarnation(mTime.now().toEpochMilli()));
            FleetMember self = new FleetMember(address(), mIdentity.incarnation().value());
            mFleet = new FleetView(self, seeds());
            Clocks clocks = new Clocks(mProcess, mProcess);
            mState = new StateController(STALENESS, clocks, mProcess, e -> {});
            StateReader reader =
                    new StateReader(
                            new SilentStore(), mState, clocks, mProcess, mRandom, () -> false);
            mExchange =
                    new WorkExchange(
                            (peer, message, timeout) -> {
                                mCalls++;
                                return mNetwork.of(this).call(peer, message, timeout);
                            },
                            mFleet,
                            self,
                            mLedger,
                            new ConfirmationExchange(
                                    mState,
                                    reader,
                                    new ConfigExchange(
                                            mState,
                                            (peer, message, timeout) -> Uni.createFrom().nothing(),
                                            Configs::decode,
                                            mProcess,
                                            e -> {})),
                            mState,
                            new StoreRelay(mState, reader, clocks),
                            clocks,
                            mProcess);
        }

        void start() {
            mNetwork.attach(address(), this);
            mProcess.schedule(Duration.ofMillis(mRandom.nextInt(300)), mExchange::start);
        }

        int calls() {
            return mLedger.of(ENGINE, mTime.now()).calls();
        }

        String view() {
            return "member "
                    + mNumber
                    + " follows "
                    + mFleet.aggregator(mTime.now())
                    + " of "
                    + mFleet.size(mTime.now());
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
            return Uni.createFrom().item(mExchange.answer(from, (PeerMessage.Work) message));
        }
    }

    private static Address addressOf(int number) {
        return new Address("10.0." + number / 200 + "." + number % 200, 1);
    }

    /** Returns the first three addresses, which may be down like any other. */
    private static ImmutableList<Address> seeds() {
        return ImmutableList.of(addressOf(0), addressOf(1), addressOf(2));
    }

    private void fleet(int members) {
        for (int i = 0; i < members; i++) {
            mMembers.add(new Member(i));
        }
        mMembers.forEach(Member::start);
        mMembers.forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
        mTime.advance(SETTLE_TIME);
    }

    private void restart(int number) {
        mMembers.get(number).mProcess.kill();
        Member next = new Member(number);
        mMembers.set(number, next);
        next.start();
        next.mLedger.add(ENGINE, ONE_CALL);
    }

    private void checkAllCountWorkOfAll() {
        long alive = mMembers.stream().filter(m -> m.mProcess.alive()).count();
        mMembers.stream()
                .filter(m -> m.mProcess.alive())
                .forEach(m -> assertThat(m.calls()).as(m.view()).isEqualTo((int) alive));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 38, 100, 410})
    void allCountTheWorkOfAll(int members) {
        fleet(members);
        checkAllCountWorkOfAll();
        assertThat(mMembers).allMatch(m -> m.mFleet.size(mTime.now()) == members);
    }

    /**
     * The rate of a member's own calls doesn't grow with the fleet; the rate of calls that the
     * aggregator answers is bounded too.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 38, 100, 410})
    void callsStayBoundedAtAnyFleetSize(int members) {
        fleet(members);
        long before = mCalls;
        mMembers.forEach(m -> m.mHandled = 0);
        long bytes = mNetwork.totalSentBytes();
        int seconds = 5;
        for (int i = 0; i < seconds * 10; i++) {
            mMembers.forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
            mTime.advance(Duration.ofMillis(100));
        }
        double perMember = (mCalls - before) / (double) seconds / members;
        assertThat(perMember).isLessThan(15);
        assertThat((mNetwork.totalSentBytes() - bytes) / (double) seconds / members)
                .isLessThan(16 * 1_024);
        assertThat(mMembers).allMatch(m -> m.mHandled / seconds < 340 + 3 * members);
    }

    @ParameterizedTest
    @CsvSource({"0", "1", "5"})
    void workOfLostMemberIsDroppedAndTheOthersContinue(int lost) {
        fleet(38);
        mMembers.get(lost).mProcess.kill();
        mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20})
    void frozenMemberIsDroppedAndRejoins(int frozen) {
        fleet(38);
        mMembers.get(frozen).mProcess.pause(Duration.ofSeconds(10));
        mTime.advance(SETTLE_TIME);
        mMembers.stream()
                .filter(m -> m.mNumber != frozen)
                .forEach(m -> assertThat(m.calls()).isEqualTo(37));
        mTime.advance(Duration.ofSeconds(4).plus(SETTLE_TIME));
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 38})
    void rollingRestartConverges(int members) {
        fleet(members);
        for (int i = 0; i < members; i++) {
            restart(i);
            mTime.advance(Duration.ofMillis(400));
        }
        mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 38})
    void simultaneousRestartOfMostMembersConverges(int members) {
        fleet(members);
        for (int i = 0; i < members * 6 / 10; i++) {
            restart(i);
        }
        mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {26})
    void membersAddedTogetherAreDiscovered(int added) {
        fleet(38);
        for (int i = 38; i < 38 + added; i++) {
            Member member = new Member(i);
            mMembers.add(member);
            member.start();
            member.mLedger.add(ENGINE, ONE_CALL);
        }
        mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberThatCannotReachTheAggregatorUsesTheStandby(boolean bothWays) {
        fleet(38);
        Member cut = mMembers.get(30);
        Address aggregator = cut.mFleet.aggregator(mTime.now()).address();
        mNetwork.cut(cut.address(), aggregator);
        if (bothWays) {
            mNetwork.cut(aggregator, cut.address());
        }
        mTime.advance(SETTLE_TIME);
        assertThat(cut.calls()).isEqualTo(38);
        mNetwork.heal();
        mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20})
    void leavingEndpointIsKnownToAllIncludingLaterStarters(int teller) {
        fleet(38);
        EndpointRun run = new EndpointRun(ENGINE, 1);
        mMembers.get(teller).mState.onEndpointLeaving(run, "answer");
        mTime.advance(Duration.ofSeconds(2));
        assertThat(mMembers).allMatch(m -> m.mState.endpoints().leaving().contains(run));
        mTime.advance(Duration.ofSeconds(30));
        restart(25);
        mTime.advance(SETTLE_TIME);
        assertThat(mMembers.get(25).mState.endpoints().leaving().contains(run)).isTrue();
    }

    /** One daemon alone can reach the store; its confirmation lets all others honour keys. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void confirmationOfTheAggregatorOrStandbyReachesAll(int reader) {
        fleet(38);
        List<Member> oldest =
                mMembers.getFirst().mFleet.aggregators(mTime.now()).stream()
                        .map(a -> member(a.address()))
                        .toList();
        mMembers.forEach(m -> confirm(m, Optional.of(Configs.of(1))));
        for (int second = 0; second < 12; second++) {
            mTime.advance(Duration.ofSeconds(1));
            confirm(oldest.get(reader), Optional.empty());
        }
        assertThat(mMembers).allMatch(m -> m.mState.isFresh());
    }

    private Member member(Address address) {
        return mMembers.stream().filter(m -> m.address().equals(address)).findFirst().orElseThrow();
    }

    private static void confirm(Member member, Optional<PublishedConfig> config) {
        Clocks clocks = new Clocks(member.mProcess, member.mProcess);
        member.mState.onConfirmed(
                new PublishedState.ConfigReading(Optional.of(READ_POSITION), config, READ_POSITION),
                clocks.read());
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
    }
}
