package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Four daemons, of which the aggregator is cut off from the store without noticing. */
final class StoreCutTest {
    private static final EndpointRun REMOVED = new EndpointRun(new EndpointId("e2"), 1);

    /** Time within which daemons that reach the store must use no endpoint that has left. */
    private static final long DRAIN_MILLIS = 2_000;

    private static List<String> usable(RestoreTestFleet fleet, int member) {
        return fleet
                .mMembers
                .get(member)
                .mState
                .endpoints()
                .usable(RestoredStore.SERVICE, fleet.mTime.now())
                .stream()
                .map(e -> e.id().value())
                .toList();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400})
    void removalReachesAllWhileTheAggregatorIsCutOffFromTheStore(int phaseMillis) {
        RestoreTestFleet fleet = new RestoreTestFleet(1);
        fleet.begin(4);
        fleet.pass(20_000 + phaseMillis);
        fleet.mStore.cut(fleet.mMembers.getFirst().mProcess);
        fleet.mStore.deregister(REMOVED);
        fleet.pass(DRAIN_MILLIS);
        for (int member = 1; member < 4; member++) {
            assertThat(usable(fleet, member)).as("member %d", member).containsExactly("e1");
        }
    }
}
