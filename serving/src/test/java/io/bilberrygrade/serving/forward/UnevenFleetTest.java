package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets on virtual time most of whose members state a quarter of a core. */
final class UnevenFleetTest {
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final EndpointWork ONE_CALL = new EndpointWork(1, 0, 0, 1, 5_000);
    private static final Optional<Capacity> SMALL = Optional.of(new Capacity(250, 14));
    private static final Optional<Capacity> LARGE = Optional.of(new Capacity(2_000, 1_000));
    private static final Duration SETTLE_TIME = Duration.ofSeconds(6);

    /** Limit of a daemon's control traffic. */
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 2_048;

    /** Number of large members, which are the last to start. */
    private static final int LARGE_MEMBERS = 3;

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(19);

    /** Starts the small members, and later the large ones, which are thus the youngest. */
    private void fleet(int members) {
        mFleet.mCapacity = n -> n < members - LARGE_MEMBERS ? SMALL : LARGE;
        add(members - LARGE_MEMBERS);
        mFleet.mTime.advance(Duration.ofSeconds(2));
        add(LARGE_MEMBERS);
        mFleet.mTime.advance(SETTLE_TIME);
    }

    private void add(int members) {
        mFleet.add(members).forEach(m -> m.mLedger.add(ENGINE, ONE_CALL));
    }

    private List<Member> alive() {
        return mFleet.mMembers.stream().filter(m -> m.mProcess.alive()).toList();
    }

    private void checkRolesAreOf(int aggregator, int standby) {
        List<FleetMember> expected =
                IntStream.of(aggregator, standby)
                        .mapToObj(mFleet.mMembers::get)
                        .map(m -> new FleetMember(m.address(), m.identity().incarnation().value()))
                        .toList();
        assertThat(alive())
                .allSatisfy(
                        m ->
                                assertThat(m.mFleet.aggregators(mFleet.now()).subList(0, 2))
                                        .isEqualTo(expected));
    }

    private void checkAllCountWorkOfAll() {
        assertThat(alive())
                .allSatisfy(
                        m ->
                                assertThat(m.mLedger.of(ENGINE, mFleet.now()).calls())
                                        .isEqualTo(alive().size()));
    }

    // Guards against an aggregator with a quarter of a core, and against members that disagree.
    @ParameterizedTest
    @ValueSource(ints = {5, 36, 134, 300})
    void oldestLargeMemberIsTheAggregator(int members) {
        fleet(members);
        checkRolesAreOf(members - 3, members - 2);
        checkAllCountWorkOfAll();
        assertThat(mFleet.mMembers).allMatch(m -> m.mFleet.capacities().isUneven(mFleet.now()));
    }

    @ParameterizedTest
    @ValueSource(ints = {36, 134})
    void nextLargeMemberTakesOverFromLostOne(int members) {
        fleet(members);
        mFleet.mMembers.get(members - 3).mProcess.kill();
        mFleet.mTime.advance(SETTLE_TIME);
        checkRolesAreOf(members - 2, members - 1);
        checkAllCountWorkOfAll();
    }

    @ParameterizedTest
    @ValueSource(ints = {36, 134})
    void frozenAggregatorTakesItsRoleAgain(int members) {
        fleet(members);
        Member frozen = mFleet.mMembers.get(members - 3);
        frozen.mProcess.pause(Duration.ofSeconds(10));
        mFleet.mTime.advance(SETTLE_TIME);
        assertThat(alive().stream().filter(m -> !m.equals(frozen)))
                .allMatch(m -> m.mLedger.of(ENGINE, mFleet.now()).calls() == members - 1);
        mFleet.mTime.advance(Duration.ofSeconds(4).plus(SETTLE_TIME));
        checkRolesAreOf(members - 3, members - 2);
        checkAllCountWorkOfAll();
    }

    // Guards against an aggregator that keeps its role although its processor is used up, and
    // against a role that goes to and fro.
    @ParameterizedTest
    @CsvSource({"36, 300", "36, 2000", "134, 300"})
    void slowAggregatorHandsOverUntilItHasRecovered(int members, long lateMillis) {
        fleet(members);
        mFleet.mTime.advance(Duration.ofSeconds(10));
        Member slow = mFleet.mMembers.get(members - 3);
        slow.mProcess.setTimerLateness(Duration.ofMillis(lateMillis));
        mFleet.mTime.advance(Duration.ofSeconds(25));
        checkRolesAreOf(members - 2, members - 1);
        slow.mProcess.setTimerLateness(Duration.ZERO);
        for (int i = 0; i < 5; i++) {
            mFleet.mTime.advance(Duration.ofSeconds(5));
            checkRolesAreOf(members - 2, members - 1);
        }
        mFleet.mTime.advance(Duration.ofSeconds(20));
        checkRolesAreOf(members - 3, members - 2);
        checkAllCountWorkOfAll();
        assertThat(slow.mEvents).hasSize(2);
    }

    /** Where all are slow, as on an overloaded machine, the role stays where it was. */
    @Test
    void fleetOfSlowMembersKeepsItsAggregator() {
        fleet(36);
        mFleet.mTime.advance(Duration.ofSeconds(10));
        alive().forEach(m -> m.mProcess.setTimerLateness(Duration.ofMillis(300)));
        mFleet.mTime.advance(Duration.ofSeconds(30));
        checkRolesAreOf(33, 34);
        checkAllCountWorkOfAll();
    }

    @Test
    void fleetWithoutLargeMembersGoesOnByAge() {
        fleet(36);
        IntStream.range(33, 36).forEach(i -> mFleet.mMembers.get(i).mProcess.kill());
        mFleet.mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
        mFleet.mTime.advance(Duration.ofSeconds(40));
        assertThat(alive()).noneMatch(m -> m.mFleet.capacities().isUneven(mFleet.now()));
        checkAllCountWorkOfAll();
    }

    /** Members that state nothing, as those of an older version, are counted all the same. */
    @Test
    void membersThatStateNothingTakePart() {
        mFleet.mCapacity = n -> n % 2 == 0 ? Optional.empty() : n == 35 ? LARGE : SMALL;
        add(36);
        mFleet.mTime.advance(SETTLE_TIME);
        checkAllCountWorkOfAll();
        assertThat(alive())
                .allMatch(
                        m ->
                                m.mFleet
                                        .aggregator(mFleet.now())
                                        .address()
                                        .equals(mFleet.mMembers.get(35).address()));
    }

    /** With the switch off, a fleet chooses as it does without any capacities. */
    @Test
    void evenFleetDecidesAsOneThatStatesNothing() {
        ExchangeTestFleet before = new ExchangeTestFleet(19);
        mFleet.mCapacity = n -> Optional.of(new Capacity(250 + 10 * n, 14));
        for (ExchangeTestFleet fleet : List.of(before, mFleet)) {
            fleet.add(36);
            fleet.mTime.advance(SETTLE_TIME);
        }
        for (int i = 0; i < 36; i++) {
            assertThat(mFleet.mMembers.get(i).mFleet.aggregators(mFleet.now()))
                    .isEqualTo(before.mMembers.get(i).mFleet.aggregators(before.now()));
        }
    }

    /** What stating capacities costs, at the size for which the limit holds. */
    @Test
    void capacitiesLeaveRoomInTheControlTraffic() {
        fleet(410);
        long before = mFleet.mNetwork.totalSentBytes();
        mFleet.mTime.advance(Duration.ofSeconds(10));
        long perMember = (mFleet.mNetwork.totalSentBytes() - before) / 410 / 10;
        assertThat(perMember).isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }
}
