package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.CrashEntry;
import io.bilberrygrade.serving.peer.CrashReport;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.SuspectTable;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of up to 410 daemons on virtual time, whose members freeze, die and restart. */
final class WorkExchangeFleetTest {
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final EndpointWork ONE_CALL = new EndpointWork(1, 0, 0, 1, 5_000);
    private static final StorePosition READ_POSITION = new StorePosition(1, 9);

    /**
     * Time within which all members count the work of all: the lifetime of a report and one second
     * more.
     */
    private static final Duration SETTLE_TIME = Duration.ofSeconds(6);

    /**
     * Time within which a lost member is no longer counted: it is named for 3 s after the last
     * contact, counted for 3 s after it was last named, and an exchange takes less than 1 s.
     */
    private static final Duration FORGET_TIME = Duration.ofSeconds(7);

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(7);

    private int calls(Member member) {
        return member.mLedger.of(ENGINE, mFleet.now()).calls();
    }

    private String view(Member member) {
        return "member "
                + member.mNumber
                + " follows "
                + member.mFleet.aggregator(mFleet.now())
                + " of "
                + member.mFleet.size(mFleet.now());
    }

    private void fleet(int members) {
        mFleet.add(members).forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
        advance(SETTLE_TIME);
    }

    private void restart(int number) {
        mFleet.restart(number).mLedger.add(ENGINE, ONE_CALL);
    }

    private void advance(Duration duration) {
        mFleet.mTime.advance(duration);
    }

    private List<Member> members() {
        return mFleet.mMembers;
    }

    private void checkAllCountWorkOfAll() {
        long alive = members().stream().filter(m -> m.mProcess.alive()).count();
        members().stream()
                .filter(m -> m.mProcess.alive())
                .forEach(m -> assertThat(calls(m)).as(view(m)).isEqualTo((int) alive));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 38, 100, 410})
    void allCountTheWorkOfAll(int members) {
        fleet(members);
        checkAllCountWorkOfAll();
        assertThat(members()).allMatch(m -> m.mFleet.size(mFleet.now()) == members);
    }

    /**
     * The rate of a member's own calls doesn't grow with the fleet; the rate of calls that the
     * aggregator answers is bounded too.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 38, 100, 410})
    void callsStayBoundedAtAnyFleetSize(int members) {
        fleet(members);
        long before = mFleet.mCalls;
        members().forEach(m -> m.mHandled = 0);
        long bytes = mFleet.mNetwork.totalSentBytes();
        int seconds = 5;
        for (int i = 0; i < seconds * 10; i++) {
            members().forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
            advance(Duration.ofMillis(100));
        }
        double perMember = (mFleet.mCalls - before) / (double) seconds / members;
        assertThat(perMember).isLessThan(15);
        assertThat((mFleet.mNetwork.totalSentBytes() - bytes) / (double) seconds / members)
                .isLessThan(16 * 1_024);
        assertThat(members()).allMatch(m -> m.mHandled / seconds < 340 + 3 * members);
    }

    @ParameterizedTest
    @CsvSource({"0", "1", "5"})
    void workOfLostMemberIsDroppedAndTheOthersContinue(int lost) {
        fleet(38);
        members().get(lost).mProcess.kill();
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @CsvSource({"4, 1", "4, 2", "38, 1", "38, 20", "100, 50"})
    void lostMembersAreNoLongerCounted(int members, int lost) {
        fleet(members);
        members().subList(members - lost, members).forEach(m -> m.mProcess.kill());
        advance(FORGET_TIME);
        members()
                .subList(0, members - lost)
                .forEach(m -> assertThat(m.mFleet.size(mFleet.now())).isEqualTo(members - lost));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20})
    void frozenMemberIsDroppedAndRejoins(int frozen) {
        fleet(38);
        members().get(frozen).mProcess.pause(Duration.ofSeconds(10));
        advance(SETTLE_TIME);
        members().stream()
                .filter(m -> m.mNumber != frozen)
                .forEach(m -> assertThat(calls(m)).isEqualTo(37));
        advance(Duration.ofSeconds(4).plus(SETTLE_TIME));
        checkAllCountWorkOfAll();
    }

    // Guards against an exchange that ends for good with the first round that throws. Every round
    // reports, and the event is recorded once a second at most.
    @ParameterizedTest
    @ValueSource(ints = {0, 20})
    void roundsThatThrowDoNotEndTheExchange(int faulty) {
        fleet(38);
        Member member = members().get(faulty);
        member.mCallsThrow = true;
        advance(Duration.ofSeconds(5));
        member.mCallsThrow = false;
        long faults = unexpectedErrors(member);
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
        assertThat(faults).isBetween(2L, 6L);
        assertThat(unexpectedErrors(member)).isEqualTo(faults);
    }

    // Guards against an age in a peer's message that can't be computed with: the daemon couldn't
    // encode the record for others.
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MIN_VALUE, 1_000})
    void crashOfAnyAgeIsPassedOn(long ageMillis) {
        fleet(4);
        Member member = members().getFirst();
        SuspectTable suspects = new SuspectTable(bytes(), bytes(), List.of("p"));
        CrashEntry crash = new CrashEntry("a", 1, ageMillis, bytes(1), null, null);
        CrashReport report = new CrashReport(7, List.of(crash), null, suspects);
        PeerMessage.Work work =
                new PeerMessage.Work(
                        members().get(1).address().toString(),
                        0,
                        List.of(),
                        List.of(),
                        0,
                        0,
                        null,
                        report,
                        null,
                        null);
        assertThat(member.mExchange.answer(members().get(1).identity(), work))
                .isInstanceOf(PeerMessage.WorkHeard.class);
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
        members().forEach(m -> assertThat(unexpectedErrors(m)).isZero());
    }

    private static Bytes bytes(int... values) {
        Buffer buffer = Buffer.buffer();
        IntStream.of(values).forEach(v -> buffer.appendByte((byte) v));
        return Bytes.of(buffer);
    }

    private static long unexpectedErrors(Member member) {
        return member.mEvents.stream()
                .filter(LifecycleEvent.UnexpectedError.class::isInstance)
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 38})
    void rollingRestartConverges(int members) {
        fleet(members);
        for (int i = 0; i < members; i++) {
            restart(i);
            advance(Duration.ofMillis(400));
        }
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 38})
    void simultaneousRestartOfMostMembersConverges(int members) {
        fleet(members);
        for (int i = 0; i < members * 6 / 10; i++) {
            restart(i);
        }
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {26})
    void membersAddedTogetherAreDiscovered(int added) {
        fleet(38);
        mFleet.add(added).forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberThatCannotReachTheAggregatorUsesTheStandby(boolean bothWays) {
        fleet(38);
        Member cut = members().get(30);
        Address aggregator = cut.mFleet.aggregator(mFleet.now()).address();
        mFleet.mNetwork.cut(cut.address(), aggregator);
        if (bothWays) {
            mFleet.mNetwork.cut(aggregator, cut.address());
        }
        advance(SETTLE_TIME);
        assertThat(calls(cut)).isEqualTo(38);
        mFleet.mNetwork.heal();
        advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20})
    void leavingEndpointIsKnownToAllIncludingLaterStarters(int teller) {
        fleet(38);
        EndpointRun run = new EndpointRun(ENGINE, 1);
        members().get(teller).mState.onEndpointLeaving(run, "answer");
        advance(Duration.ofSeconds(2));
        assertThat(members()).allMatch(m -> m.mState.endpoints().leaving().contains(run));
        advance(Duration.ofSeconds(30));
        restart(25);
        advance(SETTLE_TIME);
        assertThat(members().get(25).mState.endpoints().leaving().contains(run)).isTrue();
    }

    /** One daemon alone can reach the store; its confirmation lets all others honour keys. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void confirmationOfTheAggregatorOrStandbyReachesAll(int reader) {
        fleet(38);
        List<Member> oldest =
                members().getFirst().mFleet.aggregators(mFleet.now()).stream()
                        .map(a -> mFleet.member(a.address()))
                        .toList();
        members().forEach(m -> confirm(m, Optional.of(Configs.of(1))));
        for (int second = 0; second < 12; second++) {
            advance(Duration.ofSeconds(1));
            confirm(oldest.get(reader), Optional.empty());
        }
        assertThat(members()).allMatch(m -> m.mState.isFresh());
    }

    private static void confirm(Member member, Optional<PublishedConfig> config) {
        Clocks clocks = new Clocks(member.mProcess, member.mProcess);
        member.mState.onConfirmed(
                new PublishedState.ConfigReading(Optional.of(READ_POSITION), config, READ_POSITION),
                clocks.read());
    }
}
