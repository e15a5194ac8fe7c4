package io.bilberrygrade.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against members that are named though they can't take requests, or named too often. */
final class RelayMembersTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private final RelayMembers mMembers = new RelayMembers(RandomSource.SPLIT_MIX_64.create(7));

    private static Instant at(long millis) {
        return T0.plusMillis(millis);
    }

    private static Address member(int number) {
        return new Address("10.0." + number / 200 + "." + (1 + number % 200), 1);
    }

    private static Address relay(int number) {
        return new Address(member(number).host(), 9);
    }

    private static ImmutableSet<Address> relays(int... numbers) {
        ImmutableSet.Builder<Address> relays = ImmutableSet.builder();
        for (int number : numbers) {
            relays.add(relay(number));
        }
        return relays.build();
    }

    private void report(int from, int to, long millis) {
        for (int i = from; i < to; i++) {
            mMembers.recordReport(member(i), Optional.of(relay(i)), at(millis));
        }
    }

    private ImmutableSet<Address> nameFor(int asking, int count, long millis) {
        ImmutableList<Address> named = mMembers.nameFor(member(asking), count, at(millis));
        assertThat(named).doesNotHaveDuplicates();
        return ImmutableSet.copyOf(named);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 1, 3, 8, 1_000})
    void atMostTheWantedNumberIsNamed(int count) {
        report(0, 5, 0);
        for (int i = 0; i < 10; i++) {
            assertThat(nameFor(0, count, i)).hasSize(Math.clamp(count, 0, 4));
        }
    }

    @Test
    void askingMemberAndOthersThatAskedAreNotNamedForThreeSeconds() {
        report(0, 4, 0);
        assertThat(nameFor(0, 8, 0)).isEqualTo(relays(1, 2, 3));
        assertThat(nameFor(1, 8, 0)).isEqualTo(relays(2, 3));
        report(0, 4, 2_999);
        assertThat(nameFor(2, 8, 2_999)).isEqualTo(relays(3));
        assertThat(nameFor(2, 8, 3_000)).isEqualTo(relays(0, 1, 3));
    }

    @Test
    void memberThatHasntReportedForThreeSecondsIsNotNamed() {
        report(0, 4, 0);
        report(0, 3, 1_000);
        assertThat(nameFor(9, 8, 2_999)).isEqualTo(relays(0, 1, 2, 3));
        assertThat(nameFor(9, 8, 3_000)).isEqualTo(relays(0, 1, 2));
    }

    @Test
    void memberThatStatesNoRelayAnyMoreIsNotNamed() {
        report(0, 4, 0);
        mMembers.recordReport(member(1), Optional.empty(), T0);
        assertThat(nameFor(9, 8, 0)).isEqualTo(relays(0, 2, 3));
    }

    @Test
    void memberThatRestartsWithAnotherPortIsNamedWithThat() {
        Address moved = new Address(member(0).host(), 10);
        report(0, 1, 0);
        assertThat(nameFor(9, 8, 0)).isEqualTo(relays(0));
        mMembers.recordReport(member(0), Optional.of(moved), T0);
        assertThat(nameFor(9, 8, 0)).containsExactly(moved);
    }

    @Test
    void oneThatAsksAloneGetsOthersEachTime() {
        report(0, 16, 0);
        ImmutableSet<Address> first = nameFor(99, 8, 0);
        assertThat(nameFor(99, 8, 0)).doesNotContainAnyElementsOf(first);
    }

    /** Half a fleet that asks at once must not fall on a few. */
    @ParameterizedTest
    @CsvSource({"30, 15", "410, 200", "410, 5", "35, 17"})
    void eachIsNamedEquallyOften(int members, int cut) {
        report(cut, members, 0);
        Map<Address, Integer> counts = new HashMap<>();
        for (int i = 0; i < cut; i++) {
            nameFor(i, 8, 0).forEach(r -> counts.merge(r, 1, Integer::sum));
        }
        int even = cut * 8 / (members - cut);
        assertThat(counts.values()).allMatch(c -> c >= even && c <= even + 1);
    }
}
