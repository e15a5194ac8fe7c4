package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class WorkSumsTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final Address A = new Address("10.0.0.1", 1);
    private static final Address B = new Address("10.0.0.2", 1);

    private final WorkSums mSums = new WorkSums();

    private static EndpointWork calls(int calls) {
        return new EndpointWork(calls, 0, 0, 0, 0);
    }

    private void report(Address daemon, int calls, long millis) {
        mSums.recordReport(daemon, ImmutableMap.of(ENGINE, calls(calls)), T0.plusMillis(millis));
    }

    @Test
    void returnsOnlyChangedSums() {
        report(A, 2, 0);
        WorkSums.Update first = mSums.since(0, T0);
        assertThat(first.whole()).isTrue();
        assertThat(first.sums()).containsExactly(Map.entry(ENGINE, calls(2)));
        report(A, 2, 100);
        assertThat(mSums.since(first.version(), T0).sums()).isEmpty();
        report(B, 3, 100);
        WorkSums.Update next = mSums.since(first.version(), T0);
        assertThat(next.whole()).isFalse();
        assertThat(next.sums()).containsExactly(Map.entry(ENGINE, calls(5)));
    }

    @Test
    void endedWorkIsReturnedAsNone() {
        report(A, 2, 0);
        long version = mSums.since(0, T0).version();
        mSums.recordReport(A, ImmutableMap.of(), T0);
        assertThat(mSums.since(version, T0).sums())
                .containsExactly(Map.entry(ENGINE, EndpointWork.NONE));
        assertThat(mSums.since(0, T0).sums()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1999, 3, 2", "2000, 1, 1", "2499, 1, 1", "2500, 0, 0"})
    void expiresReportsOfSilentDaemons(long millis, int calls, int daemons) {
        report(A, 9, 0);
        report(B, 2, 0);
        report(A, 1, 500);
        Instant now = T0.plusMillis(millis);
        assertThat(mSums.since(0, now).sums().getOrDefault(ENGINE, EndpointWork.NONE).calls())
                .isEqualTo(calls);
        assertThat(mSums.daemons(now)).isEqualTo(daemons);
    }

    @Test
    void unknownVersionGetsAllSums() {
        report(A, 2, 0);
        assertThat(mSums.since(1_000_000, T0).whole()).isTrue();
    }

    /** Applying all deltas yields the same sums as a full update. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void deltasAddUpToFullUpdate(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        Map<EndpointId, EndpointWork> applied = new HashMap<>();
        long version = 0;
        for (int step = 0; step < 20_000; step++) {
            Instant now = T0.plusMillis(step * 7L);
            ImmutableMap.Builder<EndpointId, EndpointWork> work = ImmutableMap.builder();
            for (int i = random.nextInt(4); i > 0; i--) {
                work.put(new EndpointId("e" + random.nextInt(3_000)), calls(1 + random.nextInt(3)));
            }
            mSums.recordReport(
                    new Address("10.0.0.1", 1 + random.nextInt(40)), work.buildKeepingLast(), now);
            if (random.nextInt(5) == 0) {
                WorkSums.Update update = mSums.since(version, now);
                if (update.whole()) {
                    applied.clear();
                }
                applied.putAll(update.sums());
                applied.values().removeIf(EndpointWork.NONE::equals);
                version = update.version();
                assertThat(applied).isEqualTo(mSums.since(0, now).sums());
            }
        }
    }
}
