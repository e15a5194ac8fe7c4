package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import org.junit.jupiter.api.Test;

final class ChangeHistoryTest {
    private final ChangeHistory mHistory = new ChangeHistory();

    private static Change gone(int number) {
        return new Change.EndpointGone(new EndpointId("e" + number));
    }

    @Test
    void knowsNothingBeforeItsFirstWholeReading() {
        assertThat(mHistory.since(0)).isEmpty();
        mHistory.readWhole(10);
        assertThat(mHistory.since(9)).isEmpty();
        assertThat(mHistory.since(10)).contains(ImmutableList.of());
        assertThat(mHistory.revision()).isEqualTo(10);
    }

    @Test
    void tellsAllAfterTheRevisionAndAllOfTheBatchThatItFallsInto() {
        mHistory.readWhole(10);
        mHistory.add(14, ImmutableList.of(gone(1), gone(2)));
        mHistory.add(20, ImmutableList.of(gone(3)));
        assertThat(mHistory.since(10)).contains(ImmutableList.of(gone(1), gone(2), gone(3)));
        assertThat(mHistory.since(12)).contains(ImmutableList.of(gone(1), gone(2), gone(3)));
        assertThat(mHistory.since(14)).contains(ImmutableList.of(gone(3)));
        assertThat(mHistory.since(20)).contains(ImmutableList.of());
    }

    @Test
    void earlierRevisionChangesNothing() {
        mHistory.readWhole(10);
        mHistory.add(9, ImmutableList.of(gone(1)));
        mHistory.add(10, ImmutableList.of(gone(2)));
        assertThat(mHistory.since(10)).contains(ImmutableList.of());
    }

    @Test
    void wholeReadingEndsWhatWasKnownBefore() {
        mHistory.readWhole(10);
        mHistory.add(14, ImmutableList.of(gone(1)));
        mHistory.readWhole(30);
        assertThat(mHistory.since(14)).isEmpty();
        assertThat(mHistory.since(30)).contains(ImmutableList.of());
    }

    @Test
    void oldestChangesAreForgottenAndNeverLeftOut() {
        mHistory.readWhole(0);
        for (int i = 1; i <= ChangeHistory.MAX_CHANGES + 5; i++) {
            mHistory.add(i, ImmutableList.of(gone(i)));
        }
        assertThat(mHistory.since(4)).isEmpty();
        assertThat(mHistory.since(5).orElseThrow()).hasSize(ChangeHistory.MAX_CHANGES);
    }
}
