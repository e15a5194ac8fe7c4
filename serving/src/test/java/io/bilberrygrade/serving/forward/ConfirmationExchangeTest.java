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

/** Two daemons that exchange confirmations, one of which is partitioned from the store. */
final class ConfirmationExchangeTest {
    private static final Address PEER = new Address("10.0.0.1", 1);
    private static final Duration STALENESS = Duration.ofSeconds(5);

    private final FakeStore mStore = new FakeStore();
    private final Clocks mClocks = new Clocks(() -> mStore.mNow, () -> mStore.mNow);
    private final Daemon mConnected = new Daemon();
    private final Daemon mDisconnected = new Daemon();

    /** State of one daemon; only the test drives its reader. */
    private final class Daemon {
        private final StateController mState =
                new StateController(STALENESS, mClocks, d -> Uni.createFrom().nothing(), e -> {});
        private final ConfirmationExchange mConfirmations =
                new ConfirmationExchange(
                        mState,
                        new StateReader(
                                mStore,
                                mState,
                                mClocks,
                                d -> Uni.createFrom().nothing(),
                                RandomSource.SPLIT_MIX_64.create(1),
                                () -> false),
                        new ConfigExchange(
                                mState,
                                (peer, message, timeout) -> Uni.createFrom().nothing(),
                                Configs::decode,
                                d -> Uni.createFrom().nothing(),
                                e -> {}));

        void confirm(long version) {
            mState.onConfirmed(
                    Configs.reading(version, new StorePosition(1, version)), mClocks.read());
        }
    }

    private void pass(long millis) {
        mStore.mNow = mStore.mNow.plusMillis(millis);
    }

    private void ask(long answerAfterMillis) {
        ClockReading askedAt = mClocks.read();
        Optional<ConfirmationEntry> confirmation =
                Optional.ofNullable(mConnected.mConfirmations.ownConfirmation());
        pass(answerAfterMillis);
        mDisconnected.mConfirmations.onPeerConfirmation(confirmation, PEER, askedAt);
    }

    @Test
    void partitionedDaemonStaysFreshWhileConnectedOneDoes() {
        mDisconnected.confirm(7);
        mConnected.confirm(7);
        for (int second = 0; second < 20; second++) {
            pass(1_000);
            mConnected.confirm(7);
            ask(10);
            assertThat(mDisconnected.mState.isFresh()).isTrue();
        }
        pass(5_000);
        assertThat(mDisconnected.mState.isFresh()).isFalse();
    }

    @Test
    void delayedAnswerDoesNotExtendTheLease() {
        mDisconnected.confirm(7);
        mConnected.confirm(7);
        pass(2_000);
        ask(4_000);
        assertThat(mDisconnected.mState.isFresh()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"6, false", "7, true", "8, false"})
    void confirmsTheSameConfigurationOnly(long version, boolean fresh) {
        mDisconnected.confirm(7);
        mConnected.confirm(version);
        pass(4_000);
        mConnected.confirm(version);
        ask(10);
        pass(1_000);
        assertThat(mDisconnected.mState.isFresh()).isEqualTo(fresh);
    }

    @Test
    void newerConfigurationOfPeerIsReadAtOnce() {
        mDisconnected.confirm(7);
        mConnected.confirm(8);
        ask(10);
        assertThat(mStore.mReads).isEqualTo(1);
    }

    @Test
    void daemonWithAnExpiredLeaseConfirmsNothing() {
        mConnected.confirm(7);
        assertThat(mConnected.mConfirmations.ownConfirmation()).isNotNull();
        pass(5_000);
        assertThat(mConnected.mConfirmations.ownConfirmation()).isNull();
    }

    /** Store that counts the reads and never answers. */
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

        @Override
        public void reconnect() {}
    }
}
