package io.bilberrygrade.core.report;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Checks what a history keeps, sums and drops. */
final class ReportHistoryTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:30Z");
    private static final WorkClassId A = new WorkClassId("a");
    private static final WorkClassId B = new WorkClassId("b");

    private final ReportHistory mHistory = new ReportHistory();

    @Test
    void sumsWithinMinuteAndClass() {
        mHistory.record(A, ClassCounts.done(true, 2), START);
        mHistory.record(A, ClassCounts.refused(3), START.plusSeconds(29));
        mHistory.record(B, ClassCounts.unknown(1), START);
        mHistory.record(A, ClassCounts.failed(1), START.plusSeconds(30));

        ImmutableList<MinuteCounts> minutes =
                mHistory.since(Duration.ofMinutes(5), START.plusSeconds(60));

        assertThat(minutes).hasSize(2);
        assertThat(minutes.get(0).counts().get(A))
                .isEqualTo(new ClassCounts(2, 1, 1, 1, 0, 0, 0, 0, 5, 2));
        assertThat(minutes.get(0).counts().get(B)).isEqualTo(ClassCounts.unknown(1));
        assertThat(minutes.get(1).counts()).containsOnlyKeys(A);
    }

    @Test
    void leavesOutMinutesBeforeThePeriod() {
        mHistory.record(A, ClassCounts.done(true, 1), START);

        assertThat(mHistory.since(Duration.ofMinutes(2), START.plusSeconds(60))).hasSize(1);
        assertThat(mHistory.since(Duration.ofMinutes(2), START.plusSeconds(120))).isEmpty();
    }

    @Test
    void boundsMinutesAndClasses() {
        for (int i = 0; i <= ReportHistory.MAX_MINUTES; i++) {
            mHistory.record(A, ClassCounts.done(true, 1), START.plus(Duration.ofMinutes(i)));
        }
        Instant end = START.plus(Duration.ofMinutes(ReportHistory.MAX_MINUTES));
        for (int i = 0; i <= ReportHistory.MAX_CLASSES; i++) {
            mHistory.record(new WorkClassId("c" + i), ClassCounts.refused(1), end);
        }

        ImmutableList<MinuteCounts> minutes = mHistory.since(Duration.ofDays(2), end);

        assertThat(minutes).hasSize(ReportHistory.MAX_MINUTES);
        MinuteCounts last = minutes.get(minutes.size() - 1);
        assertThat(last.counts()).hasSize(ReportHistory.MAX_CLASSES + 1);
        assertThat(last.counts().get(ReportHistory.OTHER).refused()).isEqualTo(2);
    }

    @Test
    void refusedRequestsLowerInsideTargetShare() {
        ClassCounts counts = ClassCounts.done(true, 1).plus(ClassCounts.refused(1));

        assertThat(counts.insideTargetShare()).isEqualTo(0.5);
        assertThat(ClassCounts.done(false, 1).insideTargetShare()).isZero();
        assertThat(ClassCounts.NONE.insideTargetShare()).isEqualTo(1);
    }
}
