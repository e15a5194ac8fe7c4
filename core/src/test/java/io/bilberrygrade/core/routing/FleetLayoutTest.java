package io.bilberrygrade.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.LanePlan;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class FleetLayoutTest {
    private final ImmutableList<Endpoint> mEngines = FakeFleet.engines(8);
    private final ImmutableList<Endpoint> mWatched = mEngines.subList(0, 4);

    @Test
    void unconfinedLongWorkUsesAllEngines() {
        FleetLayout layout = FleetLayout.of(mEngines, mWatched, lanes());
        assertThat(layout.longEngines()).isEqualTo(mEngines);
        assertThat(layout.freeEngines()).isEmpty();
        assertThat(layout.largestMemoryTokens()).isEqualTo(FakeFleet.MEMORY_TOKENS);
    }

    @Test
    void confinedLongWorkLeavesOtherWatchedEnginesFree() {
        FleetLayout unconfined = FleetLayout.of(mEngines, mWatched, lanes());
        FleetLayout layout = unconfined.with(lanes(mEngines.get(1), mEngines.get(6)));
        assertThat(layout.longEngines()).containsExactly(mEngines.get(1), mEngines.get(6));
        assertThat(layout.freeEngines())
                .containsExactly(mEngines.get(0), mEngines.get(2), mEngines.get(3));
        assertThat(layout.preferred()).isSameAs(unconfined.preferred());
    }

    private static LanePlan lanes(Endpoint... longEngines) {
        ImmutableSet.Builder<EndpointId> ids = ImmutableSet.builder();
        for (Endpoint e : longEngines) {
            ids.add(e.id());
        }
        return new LanePlan(Duration.ofSeconds(1), FakeFleet.RATE, ids.build());
    }
}
