package io.bilberrygrade.core.reclaim;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OrphanPolicyTest {
    @ParameterizedTest
    @CsvSource({
        "entry-1-7-42, 7, 5000, ''",
        "entry-1-7-42, 7, -500, ''",
        "entry-1-7-42, 7, -1500, DEADLINE_PAST",
        "entry-1-6-42, 6, 5000, OWNER_GONE",
        "entry-2-6-42, 6, 5000, ''",
        "unknown, 6, 5000, ''",
        "unknown, 6, -1500, DEADLINE_PAST"
    })
    void reportsOnlyUnusedMemoryAsOrphaned(
            String request, long incarnation, long remainingMillis, String reason) {
        HeldMemory memory = HeldMemory.of(request, incarnation, Duration.ofMillis(remainingMillis));
        InstanceId restarted = new InstanceId("entry-1");

        String found =
                OrphanPolicy.findOrphanReason(
                                memory, (i, n) -> i.equals(restarted) && n.value() < 7)
                        .map(Enum::name)
                        .orElse("");

        assertThat(found).isEqualTo(reason);
    }

    @ParameterizedTest
    @CsvSource({"16,1,16", "16,5,7", "600,410,3", "0,5,0", "3,0,3"})
    void checksFewEnginesPerRoundAndAllInTurn(int engines, int daemons, int perRound) {
        Set<EndpointId> all =
                IntStream.range(0, engines)
                        .mapToObj(i -> new EndpointId("engine-" + i))
                        .collect(Collectors.toSet());
        Set<EndpointId> seen = new HashSet<>();

        for (int round = 0; round < engines; round++) {
            ImmutableSet<EndpointId> chosen =
                    ImmutableSet.copyOf(
                            SweepSchedule.round(all, new InstanceId("entry-1"), daemons, round));
            assertThat(chosen).hasSize(perRound);
            seen.addAll(chosen);
        }

        assertThat(seen).isEqualTo(all);
    }
}
