package io.bilberrygrade.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RateLimitAllocatorTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);
    private static final EndpointRun RUN = new EndpointRun(new EndpointId("e"), 1);
    private static final PermitRequest ONE = new PermitRequest(1, false);
    private static final PermitRequest ONE_STARVED = new PermitRequest(1, true);

    private final EndpointRateLimits mLimits = new EndpointRateLimits();
    private final RateLimitAllocator mAllocator = new RateLimitAllocator();

    private void limit(double perSecond) {
        mLimits.recordLimit(RUN, new RateLimit(perSecond), NOW);
        mAllocator.fill(mLimits, 1, NOW);
    }

    private int granted(PermitRequest request, int seconds, double fraction) {
        int granted = 0;
        for (int i = 1; i <= seconds * 100; i++) {
            Instant now = NOW.plusMillis(i * 10L);
            mAllocator.fill(mLimits, fraction, now);
            granted += mAllocator.grant(RUN, request, now).permits();
        }
        return granted;
    }

    @Test
    void nothingIsGrantedBeforeAnythingHasAccrued() {
        limit(1);
        assertThat(mAllocator.grant(RUN, ONE, NOW).permits()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"0.2, 1", "1, 1", "14, 1", "14, 0.25", "200, 1"})
    void grantsItsPartOfTheLimit(double perSecond, double fraction) {
        limit(perSecond);
        int granted = granted(new PermitRequest(100, false), 100, fraction);
        double share = perSecond * fraction * 100;
        assertThat((double) granted).isBetween(share * 0.9 - 1, share + 1);
    }

    @Test
    void partOfNothingGrantsNothingAndNamesNoTime() {
        limit(14);
        assertThat(granted(ONE, 10, 0)).isZero();
        assertThat(mAllocator.grant(RUN, ONE, NOW.plusSeconds(10)).nextIn()).isEmpty();
    }

    @Test
    void limitOfZeroIsStillTriedNowAndThen() {
        limit(0);
        assertThat(granted(ONE, 60, 1)).isBetween(1, 6);
    }

    @Test
    void idleTimeIsNotSavedUp() {
        limit(1);
        mAllocator.fill(mLimits, 1, NOW.plusSeconds(60));
        PermitGrant grant =
                mAllocator.grant(RUN, new PermitRequest(50, false), NOW.plusSeconds(60));
        assertThat(grant.permits()).isEqualTo(1);
    }

    @Test
    void requestsThatNothingElseCanServeComeFirst() {
        limit(1);
        assertThat(mAllocator.grant(RUN, ONE_STARVED, NOW).permits()).isZero();
        Instant later = NOW.plusMillis(900);
        mAllocator.fill(mLimits, 1, later);
        mAllocator.grant(RUN, ONE_STARVED, later);
        Instant full = NOW.plusMillis(1_600);
        mAllocator.fill(mLimits, 1, full);
        assertThat(mAllocator.grant(RUN, ONE, full).permits()).isZero();
        assertThat(mAllocator.grant(RUN, ONE_STARVED, full).permits()).isEqualTo(1);
    }

    @Test
    void namesTheTimeUntilTheNextPermit() {
        limit(2 / RateLimitAllocator.USED_FRACTION);
        assertThat(nextMillis(NOW)).isBetween(500L, 501L);
        mAllocator.fill(mLimits, 1, NOW.plusMillis(200));
        assertThat(nextMillis(NOW.plusMillis(200))).isBetween(300L, 301L);
    }

    private long nextMillis(Instant now) {
        return mAllocator.grant(RUN, ONE, now).nextIn().orElseThrow().toMillis();
    }

    @Test
    void namesNoDelayWhileThereIsRoom() {
        limit(1);
        mAllocator.fill(mLimits, 1, NOW.plusSeconds(5));
        PermitGrant grant = mAllocator.grant(RUN, new PermitRequest(0, false), NOW.plusSeconds(5));
        assertThat(grant.nextIn()).contains(Duration.ZERO);
    }

    @Test
    void endedLimitGrantsNothing() {
        limit(1);
        mLimits.recordNoLimit(RUN, NOW.plusSeconds(1), NOW.plusSeconds(2));
        mAllocator.fill(mLimits, 1, NOW.plusSeconds(9));
        assertThat(mAllocator.grant(RUN, ONE, NOW.plusSeconds(9)))
                .isEqualTo(new PermitGrant(0, Optional.empty()));
    }
}
