package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import java.time.Instant;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against instances that order a fleet in different ways, or change the order for little.
 */
final class FleetCapacitiesTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address SELF = new Address("10.0.0.1", 1);
    private static final Address OTHER = new Address("10.0.0.2", 1);
    private static final Address THIRD = new Address("10.0.0.3", 1);

    private static Optional<Capacity> millis(long processorMillis) {
        return processorMillis == 0
                ? Optional.empty()
                : Optional.of(new Capacity(processorMillis, 14));
    }

    private static Optional<CapacityStatement> states(long processorMillis) {
        return millis(processorMillis).map(c -> new CapacityStatement(c, false));
    }

    private static CapacityStatement named(long processorMillis) {
        return states(processorMillis).orElseThrow();
    }

    @ParameterizedTest
    @CsvSource({
        "250, 250, false",
        "250, 750, false",
        "250, 751, true",
        "751, 250, true",
        "0, 4000, false",
        "250, 0, false"
    })
    void fleetIsUnevenBeyondFactorOfThree(long own, long other, boolean expected) {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(own));
        capacities.recordOwnStatement(OTHER, states(other), T0);
        assertThat(capacities.isUneven(T0)).isEqualTo(expected);
    }

    @Test
    void rangeOfPeerMakesTheFleetUneven() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(4_000));
        assertThat(capacities.isUneven(T0)).isFalse();
        capacities.recordRange(new CapacityRange(250, 4_000), T0);
        assertThat(capacities.isUneven(T0)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 4000", "-5, 4000", "-9223372036854775808, 9223372036854775807", "1, 3"})
    void oddRangeChangesNothing(long min, long max) {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(4_000));
        capacities.recordRange(new CapacityRange(min, max), T0);
        assertThat(capacities.isUneven(T0)).isFalse();
    }

    @Test
    void fleetStaysUnevenWhileItsSmallInstancesRestart() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(4_000));
        capacities.recordOwnStatement(OTHER, states(250), T0);
        assertThat(capacities.isUneven(T0)).isTrue();
        assertThat(capacities.isUneven(T0.plusSeconds(20))).isTrue();
        assertThat(capacities.isUneven(T0.plusSeconds(60))).isFalse();
    }

    // Guards against a range that goes round between instances for ever.
    @Test
    void reportedRangeHasOnlyInstancesInDirectContact() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(4_000));
        capacities.recordNamed(THIRD, named(100), T0);
        capacities.recordRange(new CapacityRange(50, 9_000), T0);
        capacities.recordOwnStatement(OTHER, states(250), T0);
        assertThat(capacities.contactedRange(T0)).contains(new CapacityRange(250, 4_000));
        assertThat(capacities.contactedRange(T0.plusSeconds(3)))
                .contains(new CapacityRange(4_000, 4_000));
    }

    @Test
    void statementOfTheInstanceItselfCountsBeforeNaming() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(250));
        capacities.recordOwnStatement(OTHER, states(4_000), T0);
        capacities.recordNamed(OTHER, named(100), T0.plusSeconds(1));
        assertThat(capacities.of(OTHER)).isEqualTo(states(4_000));
        capacities.recordNamed(OTHER, named(100), T0.plusSeconds(4));
        assertThat(capacities.of(OTHER)).contains(named(100));
    }

    @Test
    void higherClassComesFirstAndSlowOnesLast() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(250));
        capacities.recordOwnStatement(OTHER, states(4_000), T0);
        ToIntFunction<Address> ranking = capacities.ranking(T0);
        assertThat(ranking.applyAsInt(OTHER)).isGreaterThan(ranking.applyAsInt(SELF));
        assertThat(ranking.applyAsInt(SELF)).isGreaterThan(ranking.applyAsInt(THIRD));
        Capacity large = millis(4_000).orElseThrow();
        capacities.recordOwnStatement(OTHER, Optional.of(new CapacityStatement(large, true)), T0);
        assertThat(capacities.ranking(T0).applyAsInt(OTHER)).isNegative();
    }

    // Guards against another order in a fleet whose instances don't differ.
    @Test
    void evenInstancesRankAlikeEvenIfOneIsSlow() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(250));
        capacities.recordOwnStatement(OTHER, states(500), T0);
        assertThat(capacities.ranking(T0).applyAsInt(OTHER)).isZero();
        assertThat(capacities.ranking(T0).applyAsInt(SELF)).isZero();
        assertThat(capacities.recordOwnSlowness(true)).isTrue();
        assertThat(capacities.recordOwnSlowness(true)).isFalse();
        assertThat(capacities.ranking(T0).applyAsInt(SELF)).isZero();
    }

    // Guards against a hand-over by instances whose settings state nothing.
    @Test
    void instanceThatStatesNothingIsNeverSlow() {
        FleetCapacities capacities = new FleetCapacities(SELF, Optional.empty());
        assertThat(capacities.recordOwnSlowness(true)).isFalse();
        assertThat(capacities.ranking(T0).applyAsInt(SELF)).isZero();
    }
}
