package io.bilberrygrade.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.data.Offset.offset;

import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class FollowerSharesTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final Duration LONG = Duration.ofMinutes(1);

    private final FollowerShares mShares = new FollowerShares();

    private void follow(int daemons, Duration followed, Instant now) {
        for (int i = 0; i < daemons; i++) {
            mShares.recordReport(new Address("10.0.0." + i, 1), followed, now);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "4, 4, 1",
        "3, 4, 0.75",
        "1, 4, 0.25",
        "100, 410, 0",
        "103, 410, 0.25122",
        "9, 4, 1"
    })
    void isThePartOfTheFleetThatFollows(int followers, int fleet, double fraction) {
        follow(followers, LONG, NOW);
        assertThat(mShares.fraction(fleet, NOW)).isCloseTo(fraction, offset(1e-5));
    }

    @Test
    void daemonThatFollowsSinceRecentlyDoesNotCountYet() {
        follow(4, FollowerShares.SETTLE_TIME.minusMillis(1), NOW);
        assertThat(mShares.fraction(4, NOW)).isZero();
        follow(4, FollowerShares.SETTLE_TIME, NOW.plusMillis(1));
        assertThat(mShares.fraction(4, NOW.plusMillis(1))).isEqualTo(1);
    }

    @Test
    void daemonThatNoLongerReportsDoesNotCount() {
        follow(4, LONG, NOW);
        assertThat(mShares.fraction(4, NOW.plus(FollowerShares.REPORT_LIFETIME))).isZero();
    }

    @Test
    void shareIsNowhereElseBeforeItCounts() {
        assertThat(FollowerShares.SETTLE_TIME)
                .isGreaterThanOrEqualTo(
                        FollowerShares.REPORT_LIFETIME.plus(FollowerShares.PERMIT_LIFETIME));
    }
}
