package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.DataCentreId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EvacuatedDataCentresTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final DataCentreId A = new DataCentreId("a");
    private static final DataCentreId B = new DataCentreId("b");

    private final EvacuatedDataCentres mMarks = new EvacuatedDataCentres();

    private static StorePosition at(long era, long revision) {
        return new StorePosition(era, revision);
    }

    private void read(long era, long revision, boolean mayLackMarks, DataCentreId... marked) {
        ImmutableMap.Builder<DataCentreId, StorePosition> read = ImmutableMap.builder();
        for (DataCentreId id : marked) {
            read.put(id, at(era, 3));
        }
        mMarks.recordRead(read.build(), at(era, revision), mayLackMarks, T0);
    }

    /** Guards against a mark that is lost if the watch, a peer and a read are out of order. */
    @Test
    void lastWriteDecidesInWhateverOrderWritesAndTheirCopiesArrive() {
        Random random = new Random(7);
        for (int round = 0; round < 500; round++) {
            EvacuatedDataCentres marks = new EvacuatedDataCentres();
            int writes = 1 + random.nextInt(8);
            List<Integer> arrivals = new ArrayList<>();
            for (int i = 1; i <= writes; i++) {
                arrivals.add(i);
                arrivals.add(i);
            }
            Collections.shuffle(arrivals, random);
            for (int i : arrivals) {
                marks.record(A, at(1 + i / 4, 100 * (3 - i / 4) + i), i % 2 == 1, T0);
            }
            assertThat(marks.contains(A)).as("round %d", round).isEqualTo(writes % 2 == 1);
        }
    }

    @Test
    void markMissingInCompleteReadOfItsEraEnds() {
        mMarks.record(A, at(1, 5), true, T0);
        mMarks.record(B, at(1, 9), true, T0);
        read(1, 7, true);
        assertThat(mMarks.contains(A)).isFalse();
        assertThat(mMarks.contains(B)).as("marked after the read").isTrue();
        mMarks.record(A, at(1, 5), true, T0);
        assertThat(mMarks.contains(A)).as("a late copy of the first mark").isFalse();
    }

    /** Guards against requests to a data centre whose mark an older copy of the store lost. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void markThatAnOlderCopyLacksIsKeptWhileTheOperatorMayWriteItAgain(
            boolean mayLackMarks, boolean kept) {
        mMarks.record(A, at(1, 50), true, T0);
        read(2, 7, mayLackMarks);
        assertThat(mMarks.contains(A)).isEqualTo(kept);
        assertThat(mMarks.hasMarksBefore(2)).isEqualTo(kept);
        read(2, 8, true, A);
        assertThat(mMarks.contains(A)).as("written again under a lower revision").isEqualTo(kept);
        assertThat(mMarks.hasMarksBefore(2)).isFalse();
    }

    @Test
    void withdrawalAfterRestoreEndsMarkOfEarlierEra() {
        mMarks.record(A, at(1, 50), true, T0);
        assertThat(mMarks.record(A, at(2, 8), false, T0)).isTrue();
        assertThat(mMarks.contains(A)).isFalse();
    }

    @Test
    void withdrawalsAreBoundedAndMarksAreNot() {
        for (int i = 0; i < 1_000; i++) {
            mMarks.record(new DataCentreId("w" + i), at(1, i), false, T0);
            mMarks.record(new DataCentreId("m" + i), at(1, i), true, T0);
        }
        assertThat(mMarks.size()).isEqualTo(1_000);
        assertThat(mMarks.all()).hasSize(1_000 + EvacuatedDataCentres.MAX_WITHDRAWALS);
    }
}
