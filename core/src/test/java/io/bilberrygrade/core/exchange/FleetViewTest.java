package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.core.room.CapacityStatement;
import io.bilberrygrade.core.room.FleetCapacities;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FleetViewTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address SEED = new Address("10.0.0.9", 1);
    private static final FleetMember SELF = member(5, 50);
    private static final FleetMember OLDER = member(6, 20);
    private static final FleetMember OLDEST = member(7, 10);
    private static final FleetMember YOUNGER = member(4, 60);

    private final FleetView mView = new FleetView(SELF, ImmutableList.of(SELF.address(), SEED));

    private static FleetMember member(int number, long startedAt) {
        return new FleetMember(new Address("10.0.0." + number, 1), startedAt);
    }

    @Test
    void daemonWithoutPeersIsAggregatorAndCallsOtherSeeds() {
        assertThat(mView.isAggregator(T0)).isTrue();
        assertThat(mView.standby(T0)).isEmpty();
        assertThat(mView.nextSeed()).contains(SEED);
        assertThat(mView.nextSeed()).contains(SEED);
        assertThat(mView.size(T0)).isEqualTo(1);
    }

    @Test
    void oldestIsAggregatorAndSecondOldestIsStandby() {
        mView.recordContact(YOUNGER, T0);
        assertThat(mView.isAggregator(T0)).isTrue();
        assertThat(mView.standby(T0)).contains(YOUNGER);
        mView.recordContact(OLDER, T0);
        mView.recordNamed(ImmutableList.of(OLDEST, OLDER), 30, T0);
        assertThat(mView.aggregator(T0)).isEqualTo(OLDEST);
        assertThat(mView.standby(T0)).contains(OLDER);
        assertThat(mView.aggregators(T0)).containsExactly(OLDEST, OLDER, SELF, YOUNGER);
        assertThat(mView.size(T0)).isEqualTo(30);
    }

    // Guards against a peer whose answer delays this daemon's next report by days.
    @ParameterizedTest
    @CsvSource({"410, 410", "1000, 1000", "2147483647, 2000", "-2147483648, 2"})
    void statedSizeIsBounded(int stated, int size) {
        mView.recordNamed(ImmutableList.of(OLDER), stated, T0);
        assertThat(mView.size(T0)).isEqualTo(size);
        assertThat(mView.peakSize(T0)).isLessThanOrEqualTo(2_001);
        assertThat(mView.exchangeInterval(false, T0)).isLessThanOrEqualTo(Duration.ofSeconds(6));
    }

    // Guards against a peer that names more members than it may, all of which would be called.
    @Test
    void membersBeyondThoseNextInLineAreIgnored() {
        ImmutableList<FleetMember> named =
                IntStream.range(10, 22)
                        .mapToObj(i -> member(i, i))
                        .collect(ImmutableList.toImmutableList());
        mView.recordNamed(named, 3, T0);
        assertThat(mView.knownSize(T0)).isEqualTo(5);
    }

    @Test
    void memberThatDoesNotAnswerIsSkippedUntilRetry() {
        mView.recordContact(OLDEST, T0);
        mView.recordContact(OLDER, T0);
        mView.recordFailure(OLDEST.address(), T0);
        mView.recordNamed(ImmutableList.of(OLDEST), 3, T0.plusMillis(100));
        assertThat(mView.aggregator(T0.plusMillis(100))).isEqualTo(OLDER);
        assertThat(mView.aggregator(T0.plusMillis(2_000))).isEqualTo(OLDEST);
        mView.recordFailure(OLDEST.address(), T0.plusMillis(2_000));
        mView.recordContact(OLDEST, T0.plusMillis(2_100));
        assertThat(mView.aggregator(T0.plusMillis(2_100))).isEqualTo(OLDEST);
    }

    @ParameterizedTest
    @CsvSource({"2999, true", "3000, false"})
    void memberExpiresWithoutContactOrNaming(long millis, boolean expected) {
        mView.recordContact(OLDEST, T0);
        Instant now = T0.plusMillis(millis);
        assertThat(mView.aggregator(now).equals(OLDEST)).isEqualTo(expected);
        assertThat(mView.size(now)).isEqualTo(expected ? 2 : 1);
    }

    @Test
    void restartedMemberReplacesItsEarlierRun() {
        mView.recordContact(OLDEST, T0);
        FleetMember restarted = member(7, 90);
        mView.recordContact(restarted, T0.plusMillis(10));
        assertThat(mView.isAggregator(T0.plusMillis(10))).isTrue();
        mView.recordNamed(ImmutableList.of(OLDEST), 2, T0.plusMillis(20));
        assertThat(mView.isAggregator(T0.plusMillis(20))).isTrue();
    }

    @Test
    void namesOnlyMembersWithDirectContactToPeers() {
        mView.recordNamed(ImmutableList.of(OLDEST), 3, T0);
        mView.recordContact(OLDER, T0);
        assertThat(mView.contactedAggregators(T0)).containsExactly(OLDER, SELF);
        assertThat(mView.contactedAggregators(T0.plusSeconds(3))).containsExactly(SELF);
        mView.recordNamed(ImmutableList.of(OLDER), 3, T0.plusSeconds(3));
        assertThat(mView.contactedAggregators(T0.plusSeconds(3))).containsExactly(SELF);
    }

    @Test
    void newSeedsReplaceEarlierOnes() {
        Address other = new Address("10.0.0.8", 1);
        mView.setSeeds(ImmutableList.of(other));
        assertThat(mView.nextSeed()).contains(other);
        mView.setSeeds(ImmutableList.of());
        assertThat(mView.nextSeed()).isEmpty();
    }

    @Test
    void seedThatWasNeverReachedMayBeRunning() {
        assertThat(mView.sizeWithUnreachedSeeds(T0)).isEqualTo(2);
        assertThat(mView.hasMetPeers()).isFalse();
        mView.recordContact(YOUNGER, T0);
        assertThat(mView.sizeWithUnreachedSeeds(T0)).isEqualTo(3);
        assertThat(mView.hasMetPeers()).isTrue();
    }

    @Test
    void seedThatWasReachedCountsOnlyWhileItIsKnown() {
        mView.recordContact(new FleetMember(SEED, 70), T0);
        assertThat(mView.sizeWithUnreachedSeeds(T0)).isEqualTo(2);
        assertThat(mView.sizeWithUnreachedSeeds(T0.plusSeconds(10))).isEqualTo(1);
        assertThat(mView.hasMetPeers()).isTrue();
    }

    private static FleetView viewWithCapacity(long own, long oldest, long older) {
        FleetCapacities capacities = new FleetCapacities(SELF.address(), millis(own));
        FleetView view = new FleetView(SELF, ImmutableList.of(SEED), capacities);
        view.recordContact(OLDEST, T0);
        view.recordContact(OLDER, T0);
        view.recordContact(YOUNGER, T0);
        capacities.recordOwnStatement(OLDEST.address(), states(oldest), T0);
        capacities.recordOwnStatement(OLDER.address(), states(older), T0);
        return view;
    }

    private static Optional<Capacity> millis(long millis) {
        return Optional.of(millis).filter(m -> m > 0).map(m -> new Capacity(m, 0));
    }

    private static Optional<CapacityStatement> states(long millis) {
        return millis(millis).map(c -> new CapacityStatement(c, false));
    }

    @Test
    void unevenFleetIsOrderedByClassAndThenByAge() {
        FleetView view = viewWithCapacity(4_000, 250, 4_000);
        assertThat(view.aggregators(T0)).containsExactly(OLDER, SELF, OLDEST, YOUNGER);
        assertThat(view.contactedAggregators(T0)).containsExactly(OLDER, SELF, OLDEST, YOUNGER);
    }

    /** Fleets that state nothing, or capacities that are alike, decide as before. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "700, 250, 0", "500, 250, 700", "0, 4000, 0"})
    void evenFleetIsOrderedByAge(long own, long oldest, long older) {
        FleetView view = viewWithCapacity(own, oldest, older);
        assertThat(view.aggregators(T0)).containsExactly(OLDEST, OLDER, SELF, YOUNGER);
    }

    @Test
    void daemonWithoutSeedsIsMeantToBeAlone() {
        FleetView alone = new FleetView(SELF, ImmutableList.of());
        assertThat(alone.hasMetPeers()).isTrue();
        assertThat(alone.sizeWithUnreachedSeeds(T0)).isEqualTo(1);
    }
}
