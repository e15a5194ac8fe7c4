package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.ClockReading;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.peer.ConfirmationEntry;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Daemons that share their confirmations, one of which doesn't reach the store any more. */
final class VouchingTest {
    private static final Address PEER = new Address("10.0.0.1", 1);
    private static final Duration STALENESS = Duration.ofSeconds(5);

    private final FakeStore mStore = new FakeStore();
    private final Clocks mClocks = new Clocks(() -> mStore.mNow, () -> mStore.mNow);
    private final Daemon mNear = new Daemon();
    private final Daemon mCut = new Daemon();

    /** State of one daemon; its reader is driven by the test alone. */
    private final class Daemon {
        private final StateController mState =
                new StateController(STALENESS, mClocks, d -> Uni.createFrom().nothing(), e -> {});
        private final Vouching mVouching =
                new Vouching(
                        mState,
                        new StateReader(
                                mStore,
                                mState,
                                mClocks,
                                d -> Uni.createFrom().nothing(),
                                RandomSource.SPLIT_MIX_64.create(1),
                                () -> false),
                        new ConfigHandOver(
                                mState,
                                (peer, message, timeout) -> Uni.createFrom().nothing(),
                                Configs::decode,
                                d -> Uni.createFrom().nothing(),
                                e -> {}));

        void confirm(long version) {
            mState.confirmed(
                    Configs.reading(version, new StorePosition(1, version)), mClocks.read());
        }
    }

    private void pass(long millis) {
        mStore.mNow = mStore.mNow.plusMillis(millis);
    }

    private void ask(long answerAfterMillis) {
        ClockReading askedAt = mClocks.read();
        Optional<ConfirmationEntry> said = Optional.ofNullable(mNear.mVouching.statement());
        pass(answerAfterMillis);
        mCut.mVouching.heard(said, PEER, askedAt);
    }

    @Test
    void daemonThatIsCutOffGoesOnWhileOneNearTheStoreDoes() {
        mCut.confirm(7);
        mNear.confirm(7);
        for (int second = 0; second < 20; second++) {
            pass(1_000);
            mNear.confirm(7);
            ask(10);
            assertThat(mCut.mState.fresh()).isTrue();
        }
        pass(5_000);
        assertThat(mCut.mState.fresh()).isFalse();
    }

    @Test
    void answerThatWasHeldUpGivesNoTime() {
        mCut.confirm(7);
        mNear.confirm(7);
        pass(2_000);
        ask(4_000);
        assertThat(mCut.mState.fresh()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"6, false", "7, true", "8, false"})
    void vouchesForTheSameConfigurationOnly(long version, boolean fresh) {
        mCut.confirm(7);
        mNear.confirm(version);
        pass(4_000);
        mNear.confirm(version);
        ask(10);
        pass(1_000);
        assertThat(mCut.mState.fresh()).isEqualTo(fresh);
    }

    @Test
    void newerConfigurationOfPeerIsReadAtOnce() {
        mCut.confirm(7);
        mNear.confirm(8);
        ask(10);
        assertThat(mStore.mReads).isEqualTo(1);
    }

    @Test
    void daemonWhoseOwnTimeIsUpVouchesForNobody() {
        mNear.confirm(7);
        assertThat(mNear.mVouching.statement()).isNotNull();
        pass(5_000);
        assertThat(mNear.mVouching.statement()).isNull();
    }

    /** Store that counts the reads and answers none. */
    private static final class FakeStore implements PublishedState {
        private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
        private int mReads;

        @Override
        public Uni<ConfigReading> config(StorePosition known) {
            mReads++;
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<EndpointsReading> endpoints() {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<Changes> watch(long afterRevision, Duration wait) {
            return Uni.createFrom().nothing();
        }
    }
}
