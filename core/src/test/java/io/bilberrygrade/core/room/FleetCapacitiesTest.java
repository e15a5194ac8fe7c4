package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import java.time.Instant;
import java.util.Optional;
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
        capacities.recordOwnStatement(OTHER, millis(other), T0);
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
        capacities.recordOwnStatement(OTHER, millis(250), T0);
        assertThat(capacities.isUneven(T0)).isTrue();
        assertThat(capacities.isUneven(T0.plusSeconds(20))).isTrue();
        assertThat(capacities.isUneven(T0.plusSeconds(60))).isFalse();
    }

    // Guards against a range that goes round between instances for ever.
    @Test
    void reportedRangeHasOnlyInstancesInDirectContact() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(4_000));
        capacities.recordNamed(THIRD, new Capacity(100, 0), T0);
        capacities.recordRange(new CapacityRange(50, 9_000), T0);
        capacities.recordOwnStatement(OTHER, millis(250), T0);
        assertThat(capacities.contactedRange(T0)).contains(new CapacityRange(250, 4_000));
        assertThat(capacities.contactedRange(T0.plusSeconds(3)))
                .contains(new CapacityRange(4_000, 4_000));
    }

    @Test
    void statementOfTheInstanceItselfCountsBeforeNaming() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(250));
        capacities.recordOwnStatement(OTHER, millis(4_000), T0);
        capacities.recordNamed(OTHER, new Capacity(100, 0), T0.plusSeconds(1));
        assertThat(capacities.of(OTHER)).isEqualTo(millis(4_000));
        capacities.recordNamed(OTHER, new Capacity(100, 0), T0.plusSeconds(4));
        assertThat(capacities.of(OTHER)).contains(new Capacity(100, 0));
    }

    @Test
    void higherClassIsOneOfMoreProcessorTime() {
        FleetCapacities capacities = new FleetCapacities(SELF, millis(250));
        capacities.recordOwnStatement(OTHER, millis(4_000), T0);
        assertThat(capacities.capacityClass(OTHER)).isGreaterThan(capacities.capacityClass(SELF));
        assertThat(capacities.capacityClass(SELF)).isGreaterThan(capacities.capacityClass(THIRD));
        assertThat(capacities.capacityClass(THIRD)).isZero();
    }
}
