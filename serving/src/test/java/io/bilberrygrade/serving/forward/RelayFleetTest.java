package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Fleets on virtual time whose members find others that take over requests. Guards against members
 * that are named although they can't, and against a daemon that finds none while there are some.
 */
final class RelayFleetTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(6);
    private static final int RELAY_PORT = 9;

    /** Limit of a daemon's control traffic at 410 daemons. */
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 2_048;

    /** Time in which a round asks up to two peers that don't answer, and then one that does. */
    private static final Duration ROUND_TIME = Duration.ofSeconds(1);

    /** Time after which a member that has ended is no longer named. */
    private static final Duration FORGET_TIME = Duration.ofMillis(3_500);

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(7);

    private void fleet(int members) {
        mFleet.mRelay = number -> Optional.of(new Address("0.0.0.0", RELAY_PORT));
        mFleet.add(members);
        advance(SETTLE_TIME);
    }

    private void advance(Duration duration) {
        mFleet.mTime.advance(duration);
    }

    private Member member(int number) {
        return mFleet.mMembers.get(number);
    }

    private Member aggregator() {
        return mFleet.member(member(3).mFleet.aggregator(mFleet.now()).address());
    }

    private Member standby() {
        return mFleet.member(member(3).mFleet.standby(mFleet.now()).orElseThrow().address());
    }

    /** Returns all members that take over requests of one that asks for some time. */
    private ImmutableSet<Member> relays(Member asking, Duration time) {
        ImmutableSet.Builder<Member> relays = ImmutableSet.builder();
        Duration step = Duration.ofMillis(100);
        for (long i = 0; i < time.dividedBy(step); i++) {
            asking.mDirectory.refresh();
            advance(step);
            for (int j = 0; j < 20; j++) {
                asking.mDirectory.choose().ifPresent(r -> relays.add(memberAt(r)));
            }
        }
        return relays.build();
    }

    private Member memberAt(Address relay) {
        assertThat(relay.port()).isEqualTo(RELAY_PORT);
        return mFleet.mMembers.stream()
                .filter(m -> m.address().host().equals(relay.host()))
                .findFirst()
                .orElseThrow();
    }

    private List<Member> allBut(Member... excluded) {
        List<Member> all = List.of(excluded);
        return mFleet.mMembers.stream().filter(m -> !all.contains(m)).toList();
    }

    /** The cut one is a follower, the standby, and the aggregator itself. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7})
    void memberThatIsCutOffFindsAllOthersAndNotItself(int number) {
        fleet(12);
        Member cut = member(number);
        cut.mCutOff = true;
        advance(SETTLE_TIME);
        assertThat(relays(cut, Duration.ofSeconds(6)))
                .containsExactlyInAnyOrderElementsOf(allBut(cut));
    }

    @Test
    void othersThatAreCutOffAreNotNamed() {
        fleet(12);
        List<Member> cut = IntStream.range(0, 6).mapToObj(this::member).toList();
        cut.forEach(m -> m.mCutOff = true);
        advance(Duration.ofSeconds(1));
        cut.forEach(
                m ->
                        assertThat(relays(m, Duration.ofSeconds(3)))
                                .containsExactlyInAnyOrderElementsOf(
                                        mFleet.mMembers.subList(6, 12)));
    }

    /** A member may ask before its next report leaves out the port. */
    @Test
    void otherThatAsksIsNotNamedAtOnce() {
        fleet(12);
        member(8).mDirectory.refresh();
        advance(Duration.ofMillis(100));
        assertThat(relays(member(9), Duration.ofSeconds(2))).doesNotContain(member(8));
    }

    @Test
    void memberThatIsBackIsNamedAgain() {
        fleet(4);
        member(2).mCutOff = true;
        relays(member(2), Duration.ofSeconds(2));
        member(2).mCutOff = false;
        advance(Duration.ofSeconds(4));
        assertThat(relays(member(3), Duration.ofSeconds(2))).contains(member(2));
    }

    @Test
    void memberThatHasEndedIsNotNamed() {
        fleet(12);
        member(8).mProcess.kill();
        advance(FORGET_TIME);
        assertThat(relays(member(9), Duration.ofSeconds(4)))
                .containsExactlyInAnyOrderElementsOf(allBut(member(8), member(9)));
    }

    /** Members of an older version, or without a listener. */
    @Test
    void memberThatStatesNoRelayIsNotNamed() {
        mFleet.mRelay =
                number ->
                        Optional.of(new Address("0.0.0.0", RELAY_PORT))
                                .filter(r -> number % 2 == 0);
        mFleet.add(12);
        advance(SETTLE_TIME);
        assertThat(relays(member(9), Duration.ofSeconds(4)))
                .hasSize(6)
                .allMatch(m -> m.mNumber % 2 == 0);
    }

    @Test
    void standbyNamesRelaysWhileTheAggregatorIsGone() {
        fleet(12);
        Member aggregator = aggregator();
        Member standby = standby();
        aggregator.mProcess.kill();
        assertThat(relays(member(9), ROUND_TIME)).isNotEmpty();
        advance(FORGET_TIME);
        assertThat(relays(member(9), Duration.ofSeconds(4)))
                .contains(standby)
                .containsExactlyInAnyOrderElementsOf(allBut(aggregator, member(9)));
    }

    @Test
    void frozenAggregatorDoesntKeepTheRelaysUnknown() {
        fleet(12);
        aggregator().mProcess.pause(Duration.ofSeconds(10));
        assertThat(relays(member(9), ROUND_TIME)).isNotEmpty();
    }

    @Test
    void relaysAreFoundAfterTheAggregatorAndTheStandbyHaveEnded() {
        fleet(12);
        Member aggregator = aggregator();
        Member standby = standby();
        aggregator.mProcess.kill();
        standby.mProcess.kill();
        advance(FORGET_TIME);
        assertThat(relays(member(9), Duration.ofSeconds(4)))
                .containsExactlyInAnyOrderElementsOf(allBut(aggregator, standby, member(9)));
    }

    @ParameterizedTest
    @CsvSource({"35, 17", "410, 200"})
    void manyThatAreCutOffFindRelaysEvenly(int members, int cut) {
        fleet(members);
        List<Member> cutOff = mFleet.mMembers.subList(members - cut, members);
        cutOff.forEach(m -> m.mCutOff = true);
        advance(Duration.ofSeconds(2));
        cutOff.forEach(m -> m.mDirectory.refresh());
        advance(ROUND_TIME);
        int[] counts = new int[members];
        for (Member m : cutOff) {
            for (int i = 0; i < 80; i++) {
                Address relay = m.mDirectory.choose().orElseThrow();
                m.mDirectory.recordStarted(relay);
                counts[memberAt(relay).mNumber]++;
            }
        }
        double mean = cut * 80.0 / (members - cut);
        assertThat(IntStream.of(counts).max().orElseThrow()).isLessThanOrEqualTo((int) (2 * mean));
        assertThat(IntStream.of(counts).skip(members - cut)).allMatch(c -> c == 0);
    }

    /** Traffic of all members, half of which ask once a second. */
    @Test
    void controlTrafficStaysWithinItsLimitWhileHalfOfTheFleetIsCutOff() {
        fleet(410);
        List<Member> cut = mFleet.mMembers.subList(210, 410);
        cut.forEach(m -> m.mCutOff = true);
        advance(Duration.ofSeconds(2));
        long before = mFleet.mNetwork.totalSentBytes();
        for (int i = 0; i < 50; i++) {
            mFleet.mMembers.forEach(
                    m -> m.mLedger.add(new EndpointId("e"), new EndpointWork(1, 0, 0, 1, 5_000)));
            cut.forEach(m -> m.mDirectory.refresh());
            advance(Duration.ofMillis(100));
        }
        assertThat((mFleet.mNetwork.totalSentBytes() - before) / 5 / 410)
                .isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }
}
