package io.bilberrygrade.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RendezvousTableTest {
    private static final int KEYS = 2_000;

    @Test
    void removingEngineMovesOnlyItsOwnKeys() {
        ImmutableList<Endpoint> all = FakeFleet.engines(16);
        ImmutableList<Endpoint> fewer = all.subList(0, 15);
        RendezvousTable before = new RendezvousTable(all);
        RendezvousTable after = new RendezvousTable(fewer);
        int lost = 0;
        for (long key = 0; key < KEYS; key++) {
            Endpoint old = all.get(before.preferred(StableHash.mix(key, 1))[0]);
            Endpoint now = fewer.get(after.preferred(StableHash.mix(key, 1))[0]);
            if (fewer.contains(old)) {
                assertThat(now).isEqualTo(old);
            } else {
                lost++;
            }
        }
        assertThat(lost).isBetween(KEYS / 32, KEYS / 8);
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "600, 2"})
    void prefersDistinctEngines(int engines, int preferred) {
        assertThat(new RendezvousTable(FakeFleet.engines(engines)).preferred(7))
                .hasSize(preferred)
                .doesNotHaveDuplicates();
    }

    @ParameterizedTest
    @CsvSource({"16, 16", "600, 32"})
    void watchesBoundedSubsetOfFleet(int engines, int watched) {
        ImmutableList<Endpoint> all = FakeFleet.engines(engines);
        ImmutableList<Endpoint> own = WatchedEngines.of(new InstanceId("entry-1"), all);
        assertThat(own).hasSize(watched);
        assertThat(own.equals(WatchedEngines.of(new InstanceId("entry-2"), all)))
                .isEqualTo(engines == watched);
    }
}
