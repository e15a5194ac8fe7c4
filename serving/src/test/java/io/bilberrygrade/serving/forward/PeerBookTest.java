package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class PeerBookTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address SELF = new Address("10.0.0.1", 1);
    private static final Address SEED = new Address("10.0.0.2", 1);
    private static final Address OTHER = new Address("10.0.0.3", 1);

    private final PeerBook mBook = new PeerBook(SELF, ImmutableList.of(SELF, SEED));

    @Test
    void seedsAreCalledButNotThisDaemon() {
        assertThat(mBook.callable(T0)).containsExactly(SEED);
        assertThat(mBook.alive(T0)).isEmpty();
    }

    @Test
    void peerWithOneCallUnderWayGetsNoSecond() {
        mBook.busy(SEED, true);
        assertThat(mBook.callable(T0)).isEmpty();
        mBook.busy(SEED, false);
        assertThat(mBook.callable(T0)).containsExactly(SEED);
    }

    @Test
    void digestIsEqualForDaemonsThatKnowTheSameDaemons() {
        PeerBook other = new PeerBook(OTHER, ImmutableList.of());
        mBook.heard(OTHER, T0);
        other.heard(SELF, T0);
        assertThat(other.digest(T0)).isEqualTo(mBook.digest(T0));
        other.heard(SEED, T0);
        assertThat(other.digest(T0)).isNotEqualTo(mBook.digest(T0));
        mBook.heard(SEED, T0);
        assertThat(other.digest(T0)).isEqualTo(mBook.digest(T0));
        assertThat(other.digest(T0.plusSeconds(20))).isNotEqualTo(mBook.digest(T0));
    }

    @Test
    void failedPeerIsTriedAgainLater() {
        mBook.failed(SEED, T0);
        assertThat(mBook.callable(T0)).isEmpty();
        assertThat(mBook.callable(T0.plusSeconds(1))).containsExactly(SEED);
    }

    @Test
    void peerThatWasNamedAndNeverAnswersIsForgottenAndSeedIsNot() {
        mBook.learn(OTHER, T0);
        mBook.failed(OTHER, T0.plusSeconds(11));
        mBook.failed(SEED, T0.plusSeconds(11));
        assertThat(mBook.callable(T0.plusSeconds(20))).containsExactly(SEED);
    }

    @Test
    void peerThatCallsIsAliveForSomeSeconds() {
        mBook.heard(OTHER, T0);
        assertThat(mBook.alive(T0.plusSeconds(9))).containsExactly(OTHER);
        assertThat(mBook.alive(T0.plusSeconds(11))).isEmpty();
    }
}
