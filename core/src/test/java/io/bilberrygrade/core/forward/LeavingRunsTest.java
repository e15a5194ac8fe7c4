package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class LeavingRunsTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private final LeavingRuns mRuns = new LeavingRuns();

    private static EndpointRun run(int number) {
        return new EndpointRun(new EndpointId("e" + number), 1);
    }

    @Test
    void addReturnsTrueOnceForRunAndExcludesNextRun() {
        assertThat(mRuns.add(run(1), T0)).isTrue();
        assertThat(mRuns.add(run(1), T0.plusSeconds(2))).isFalse();
        assertThat(mRuns.contains(run(1))).isTrue();
        assertThat(mRuns.contains(new EndpointRun(new EndpointId("e1"), 2))).isFalse();
    }

    @Test
    void runIsSharedWithPeersForLimitedTimeAndWithNewPeersAfterwards() {
        mRuns.add(run(1), T0);
        mRuns.add(run(2), T0.plusSeconds(3));
        assertThat(mRuns.recentRuns(T0.plusSeconds(3))).containsExactly(run(1), run(2));
        assertThat(mRuns.recentRuns(T0.plusSeconds(4))).containsExactly(run(2));
        assertThat(mRuns.recentRuns(T0.plusSeconds(7))).isEmpty();
        assertThat(mRuns.latestRuns()).containsExactly(run(1), run(2));
    }

    @Test
    void evictsOldestRunAndSendsNewestAtCapacity() {
        for (int i = 0; i <= LeavingRuns.MAX_RUNS; i++) {
            mRuns.add(run(i), T0);
        }
        assertThat(mRuns.contains(run(0))).isFalse();
        assertThat(mRuns.contains(run(1))).isTrue();
        assertThat(mRuns.latestRuns()).hasSize(LeavingRuns.MAX_SENT_TO_NEW_PEER);
        assertThat(mRuns.latestRuns().getLast()).isEqualTo(run(LeavingRuns.MAX_RUNS));
    }
}
