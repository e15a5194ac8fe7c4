package io.bilberrygrade.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to relays that fail, refuse, are slow or are no longer named. */
final class RelayChoiceTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final Address A = new Address("10.0.0.1", 9);
    private static final Address B = new Address("10.0.0.2", 9);
    private static final Address C = new Address("10.0.0.3", 9);

    private final RelayChoice mChoice = new RelayChoice(RandomSource.SPLIT_MIX_64.create(7));

    private static Instant at(long millis) {
        return T0.plusMillis(millis);
    }

    /** Returns all relays that are chosen at a time. */
    private ImmutableSet<Address> chosen(long millis) {
        return IntStream.range(0, 100)
                .mapToObj(i -> mChoice.choose(at(millis)))
                .flatMap(Optional::stream)
                .collect(ImmutableSet.toImmutableSet());
    }

    @Test
    void noneIsChosenBeforeSomeAreNamed() {
        assertThat(mChoice.isStale(T0)).isTrue();
        assertThat(mChoice.isEmpty(T0)).isTrue();
        assertThat(mChoice.choose(T0)).isEmpty();
    }

    @Test
    void namedRelaysAreStaleAfterOneSecondAndLastForTen() {
        mChoice.set(ImmutableList.of(A, B, C), T0);
        assertThat(mChoice.isStale(at(999))).isFalse();
        assertThat(mChoice.isStale(at(1_000))).isTrue();
        assertThat(chosen(9_999)).containsExactlyInAnyOrder(A, B, C);
        assertThat(mChoice.isEmpty(at(10_000))).isTrue();
        assertThat(chosen(10_000)).isEmpty();
    }

    @Test
    void newRelaysReplaceTheEarlierOnes() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.set(ImmutableList.of(C), at(1_000));
        assertThat(chosen(1_000)).containsExactly(C);
        mChoice.set(ImmutableList.of(), at(2_000));
        assertThat(mChoice.isEmpty(at(2_000))).isTrue();
    }

    @Test
    void relayNamedTwiceIsOne() {
        mChoice.set(ImmutableList.of(A, A, B), T0);
        mChoice.recordStarted(A);
        assertThat(chosen(0)).containsExactly(B);
    }

    @Test
    void failedRelayIsLeftOutForOneSecond() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.recordFailed(A, T0);
        assertThat(chosen(999)).containsExactly(B);
        assertThat(chosen(1_000)).containsExactlyInAnyOrder(A, B);
    }

    @ParameterizedTest
    @CsvSource({", 1000", "0, 0", "300, 300", "4000, 4000", "5000, 5000", "60000, 5000"})
    void refusingRelayIsLeftOutForTheStatedTime(Long statedMillis, long leftOutMillis) {
        mChoice.set(ImmutableList.of(A, B), T0);
        Optional<Duration> stated = Optional.ofNullable(statedMillis).map(Duration::ofMillis);
        mChoice.recordRefused(A, stated, T0);
        assertThat(chosen(leftOutMillis)).containsExactlyInAnyOrder(A, B);
        if (leftOutMillis > 0) {
            assertThat(chosen(leftOutMillis - 1)).containsExactly(B);
        }
    }

    /** A naming can come from a peer that doesn't know of the failure yet. */
    @Test
    void laterNamingAndShorterTimeDontEndTheTimeLeftOut() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.recordRefused(A, Optional.of(Duration.ofSeconds(4)), T0);
        mChoice.recordFailed(A, at(1_000));
        mChoice.set(ImmutableList.of(A, B), at(2_000));
        assertThat(chosen(3_999)).containsExactly(B);
        assertThat(chosen(4_000)).containsExactlyInAnyOrder(A, B);
    }

    @Test
    void noneIsChosenWhileAllAreLeftOutThoughSomeAreKnown() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.recordFailed(A, T0);
        mChoice.recordFailed(B, T0);
        assertThat(mChoice.choose(T0)).isEmpty();
        assertThat(mChoice.isEmpty(T0)).isFalse();
    }

    @Test
    void theLessLoadedOfTwoIsChosen() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.recordStarted(A);
        mChoice.recordStarted(A);
        mChoice.recordStarted(B);
        assertThat(chosen(0)).containsExactly(B);
        mChoice.recordEnded(A);
        assertThat(chosen(0)).containsExactlyInAnyOrder(A, B);
    }

    @Test
    void requestsUnderWayCountWhileTheirRelayIsntNamed() {
        mChoice.set(ImmutableList.of(A, B), T0);
        mChoice.recordStarted(A);
        mChoice.set(ImmutableList.of(B, C), at(1_000));
        mChoice.set(ImmutableList.of(A, C), at(2_000));
        assertThat(chosen(2_000)).containsExactly(C);
        mChoice.recordEnded(A);
        mChoice.recordEnded(A);
        assertThat(mChoice.underWay(A)).isZero();
        assertThat(chosen(2_000)).containsExactlyInAnyOrder(A, C);
    }
}
