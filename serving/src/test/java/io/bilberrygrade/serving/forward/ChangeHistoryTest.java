package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.forward.PublishedState.Change;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class ChangeHistoryTest {
    private static final Instant START = Instant.EPOCH;

    private final ChangeHistory mHistory = new ChangeHistory();

    private static Change gone(int number) {
        return new Change.EndpointGone(new EndpointId("e" + number));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    @Test
    void isEmptyBeforeTheFirstFullRead() {
        assertThat(mHistory.since(at(0))).isEmpty();
        mHistory.reset(at(10));
        assertThat(mHistory.since(at(9))).isEmpty();
        assertThat(mHistory.since(at(10))).contains(ImmutableList.of());
        assertThat(mHistory.position()).isEqualTo(at(10));
    }

    @Test
    void returnsAllAfterTheRevisionAndTheWholeBatchThatContainsIt() {
        mHistory.reset(at(10));
        mHistory.add(at(14), ImmutableList.of(gone(1), gone(2)));
        mHistory.add(at(20), ImmutableList.of(gone(3)));
        assertThat(mHistory.since(at(10))).contains(ImmutableList.of(gone(1), gone(2), gone(3)));
        assertThat(mHistory.since(at(12))).contains(ImmutableList.of(gone(1), gone(2), gone(3)));
        assertThat(mHistory.since(at(14))).contains(ImmutableList.of(gone(3)));
        assertThat(mHistory.since(at(20))).contains(ImmutableList.of());
    }

    @Test
    void earlierRevisionIsIgnored() {
        mHistory.reset(at(10));
        mHistory.add(at(9), ImmutableList.of(gone(1)));
        mHistory.add(at(10), ImmutableList.of(gone(2)));
        assertThat(mHistory.since(at(10))).contains(ImmutableList.of());
    }

    @Test
    void fullReadDiscardsEarlierChanges() {
        mHistory.reset(at(10));
        mHistory.add(at(14), ImmutableList.of(gone(1)));
        mHistory.reset(at(30));
        assertThat(mHistory.since(at(14))).isEmpty();
        assertThat(mHistory.since(at(30))).contains(ImmutableList.of());
    }

    // Guards against followers that can't go on after a full read of the daemon that relays.
    @Test
    void fullReadOfSettledEraContinuesTheHistory() {
        mHistory.recordFullRead(at(10), ImmutableList.of(gone(1)), START);
        Instant settled = START.plus(ChangeHistory.ERA_SETTLE_TIME).plusMillis(1);
        mHistory.recordFullRead(at(20), ImmutableList.of(gone(2)), settled);
        assertThat(mHistory.since(at(10))).contains(ImmutableList.of(gone(2)));
        assertThat(mHistory.position()).isEqualTo(at(20));
        mHistory.recordFullRead(at(20), ImmutableList.of(gone(3)), settled);
        assertThat(mHistory.since(at(10))).contains(ImmutableList.of(gone(2)));
    }

    // Guards against a daemon that relays nothing on a store that states no era.
    @Test
    void firstFullReadBeginsTheHistoryWithoutEras() {
        mHistory.recordFullRead(new StorePosition(0, 10), ImmutableList.of(gone(1)), START);
        mHistory.add(new StorePosition(0, 12), ImmutableList.of(gone(2)));
        assertThat(mHistory.since(new StorePosition(0, 10))).contains(ImmutableList.of(gone(2)));
    }

    // Guards against entries that were written again after a restore and look unchanged.
    @Test
    void fullReadShortlyAfterAnEraBeganDiscardsEarlierChanges() {
        mHistory.recordFullRead(at(10), ImmutableList.of(), START);
        Instant settled = START.plus(ChangeHistory.ERA_SETTLE_TIME).plusMillis(1);
        mHistory.recordFullRead(new StorePosition(2, 8), ImmutableList.of(), settled);
        mHistory.recordFullRead(new StorePosition(2, 9), ImmutableList.of(), settled);
        assertThat(mHistory.since(new StorePosition(2, 8))).isEmpty();
        assertThat(mHistory.since(new StorePosition(2, 9))).contains(ImmutableList.of());
    }

    @Test
    void oldestChangesAreEvictedAndNeverSkipped() {
        mHistory.reset(at(0));
        for (int i = 1; i <= ChangeHistory.MAX_CHANGES + 5; i++) {
            mHistory.add(at(i), ImmutableList.of(gone(i)));
        }
        assertThat(mHistory.since(at(4))).isEmpty();
        assertThat(mHistory.since(at(5)).orElseThrow()).hasSize(ChangeHistory.MAX_CHANGES);
    }

    @Test
    void returnsNothingForAnotherEra() {
        mHistory.reset(at(10));
        mHistory.add(at(14), ImmutableList.of(gone(1)));
        assertThat(mHistory.since(new StorePosition(0, 10))).isEmpty();
        assertThat(mHistory.since(new StorePosition(2, 10))).isEmpty();
    }

    @Test
    void changeOfAnotherEraIsNotAdded() {
        mHistory.reset(at(10));
        mHistory.add(new StorePosition(2, 14), ImmutableList.of(gone(1)));
        assertThat(mHistory.position()).isEqualTo(at(10));
    }
}
