package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against memory that is held for an engine that has ended, or taken from a live one. */
final class EngineEndTest {
    private static final Instant SIGN = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant LATER = SIGN.plus(Duration.ofMinutes(1));

    private static RegisteredEndpoint run(long startedAtMillis) {
        return new RegisteredEndpoint(
                new EndpointId("e"),
                startedAtMillis,
                new ServiceId("s"),
                new Address("127.0.0.1", 1),
                new DataCentreId("z"),
                8,
                false);
    }

    private static boolean hasEnded(
            Optional<RegisteredEndpoint> registered, boolean leaving, Instant now) {
        return EngineEnd.hasEnded(run(5), registered, leaving, SIGN, now);
    }

    @Test
    void registeredRunHasNotEndedHoweverLongItIsSilent() {
        assertThat(hasEnded(Optional.of(run(5)), false, LATER)).isFalse();
        assertThat(hasEnded(Optional.of(run(5)), true, LATER)).isFalse();
    }

    @Test
    void entryOfEarlierRunFromAnOlderCopyEndsNothing() {
        assertThat(hasEnded(Optional.of(run(4)), false, LATER)).isFalse();
    }

    @Test
    void newerRunEndsTheOneBefore() {
        assertThat(hasEnded(Optional.of(run(6)), false, SIGN)).isTrue();
        assertThat(hasEnded(Optional.of(run(6)), true, SIGN)).isTrue();
    }

    @Test
    void runWithoutEntryHasEndedOnceItIsSilent() {
        assertThat(hasEnded(Optional.empty(), false, SIGN.plusMillis(999))).isFalse();
        assertThat(hasEnded(Optional.empty(), false, SIGN.plusMillis(1_000))).isTrue();
    }

    @Test
    void leavingRunMayFinishWithoutEntry() {
        assertThat(hasEnded(Optional.empty(), true, LATER)).isFalse();
    }
}
