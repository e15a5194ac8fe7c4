package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Daemons whose open connections to the store go silent, while new ones work. */
final class SilentStoreFleetTest {
    private static final EndpointRun KEPT = new EndpointRun(new EndpointId("e1"), 1);
    private static final EndpointRun REMOVED = new EndpointRun(new EndpointId("e2"), 1);

    /** Time after a silence from which daemons must follow the store as before. */
    private static final long IN_TOUCH_MILLIS = 3_000;

    /** Time within which daemons must use no endpoint that has left. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long PHASE_MILLIS = 100;
    private static final long PHASES = 15;

    // Guards against a watch on a dead connection that is noticed too late, by one of the daemons
    // that watch or by those that they tell.
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 2", "2, 1", "4, 1", "4, 2", "5, 1", "8, 1", "45, 1", "45, 2"})
    void removalIsFollowedByAllInTime(int daemons, int silences) {
        for (int phase = 0; phase < PHASES; phase++) {
            RestoreTestFleet fleet = new RestoreTestFleet(1 + phase);
            fleet.begin(daemons);
            fleet.pass(20_000 + phase * PHASE_MILLIS);
            for (int i = 0; i < silences; i++) {
                fleet.mStore.silenceOpenConnections();
                fleet.pass(IN_TOUCH_MILLIS);
            }
            fleet.mStore.deregister(REMOVED);
            fleet.pass(DRAIN_MILLIS);
            for (RestoreTestDaemon member : fleet.mMembers) {
                assertThat(member.usable()).as("phase %d", phase).containsExactly(KEPT);
                assertThat(member.mState.endpoints().isStoreUnreachable()).isFalse();
            }
        }
    }
}
