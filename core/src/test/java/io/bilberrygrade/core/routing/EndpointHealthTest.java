package io.bilberrygrade.core.routing;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointHealthTest {
    @ParameterizedTest
    @CsvSource({"1, 1000", "2, 2000", "4, 8000", "9, 30000"})
    void ejectionTimeDoublesUpToMaximum(int failures, long millis) {
        EndpointHealth health = EndpointHealth.GOOD;
        for (int i = 0; i < failures; i++) {
            health = health.failed(START);
        }
        assertThat(health.available(START.plusMillis(millis - 1))).isFalse();
        assertThat(health.available(START.plusMillis(millis))).isTrue();
    }

    @Test
    void allowsOneProbeUntilTimeout() {
        Instant due = START.plusSeconds(1);
        EndpointHealth probed = EndpointHealth.GOOD.failed(START).sent(due);
        assertThat(probed.available(due)).isFalse();
        assertThat(probed.available(due.plusSeconds(5))).isTrue();
        assertThat(EndpointHealth.GOOD.sent(due).available(due)).isTrue();
    }

    @Test
    void refusalEjectsForLessTimeThanFailure() {
        Instant later = START.plusMillis(300);
        assertThat(EndpointHealth.GOOD.refused(START).available(START)).isFalse();
        assertThat(EndpointHealth.GOOD.refused(START).available(later)).isTrue();
        assertThat(EndpointHealth.GOOD.failed(START).available(later)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"16, 3, 3", "16, 8, 8", "16, 12, 8", "1, 1, 0"})
    void ejectsAtMostHalfOfPool(int pool, int failing, int ejected) {
        ImmutableMap.Builder<EndpointId, EndpointHealth> health = ImmutableMap.builder();
        ImmutableSet.Builder<EndpointId> members = ImmutableSet.builder();
        for (int i = 0; i < pool; i++) {
            EndpointId id = new EndpointId("e" + i);
            members.add(id);
            if (i < failing) {
                health.put(id, EndpointHealth.GOOD.failed(START.plusMillis(i)));
            }
        }
        ImmutableSet<EndpointId> kept =
                EjectionBound.ejected(health.buildOrThrow(), members.build());
        assertThat(kept).hasSize(ejected);
        assertThat(kept.contains(new EndpointId("e0"))).isEqualTo(ejected == failing);
    }
}
