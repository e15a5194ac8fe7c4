package io.bilberrygrade.core.fencing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSortedSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LoadSlotsTest {
    private static final Instant START = Instant.parse("2026-03-01T00:00:00.123456789Z");

    @ParameterizedTest
    @CsvSource({"16,1", "16,2", "600,10", "3,0.5"})
    void keepsStoreRateLimitOverAllEngines(int engines, double readsPerSecond) {
        LoadSlots slots = new LoadSlots(engines(engines), readsPerSecond);
        List<Instant> reads = new ArrayList<>();
        for (EndpointId engine : engines(engines)) {
            Instant open = START.plus(slots.timeUntilOpen(engine, START));
            assertThat(slots.timeUntilOpen(engine, open)).isEqualTo(Duration.ZERO);
            reads.add(open);
        }

        for (Instant from : reads) {
            Instant to = from.plusNanos((long) (Math.ceil(1 / readsPerSecond) * 1e9));
            long inWindow = reads.stream().filter(r -> !r.isBefore(from) && r.isBefore(to)).count();
            assertThat((double) inWindow)
                    .isLessThanOrEqualTo(readsPerSecond * Math.ceil(1 / readsPerSecond));
        }
    }

    private static ImmutableSortedSet<EndpointId> engines(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new EndpointId("engine-" + i))
                .collect(
                        ImmutableSortedSet.toImmutableSortedSet(
                                Comparator.comparing(EndpointId::value)));
    }
}
