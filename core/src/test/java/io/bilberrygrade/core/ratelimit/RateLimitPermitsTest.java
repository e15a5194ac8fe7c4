package io.bilberrygrade.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RateLimitPermitsTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final EndpointRun RUN = new EndpointRun(new EndpointId("e"), 1);

    private final RateLimitPermits mPermits = new RateLimitPermits();

    private void add(int permits, Instant askedAt) {
        mPermits.add(RUN, new PermitGrant(permits, Optional.of(Duration.ZERO)), askedAt, NOW);
    }

    @Test
    void eachPermitIsGoodForOneRequest() {
        add(2, NOW);
        mPermits.use(RUN, NOW);
        assertThat(mPermits.isAvailable(RUN, NOW)).isTrue();
        mPermits.use(RUN, NOW);
        assertThat(mPermits.isAvailable(RUN, NOW)).isFalse();
        assertThat(mPermits.used()).isEqualTo(2);
    }

    @Test
    void permitExpiresCountedFromTheRequestForIt() {
        add(1, NOW.minusMillis(300));
        Instant expiry = NOW.minusMillis(300).plus(FollowerShares.PERMIT_LIFETIME);
        assertThat(mPermits.isAvailable(RUN, expiry.minusMillis(1))).isTrue();
        assertThat(mPermits.isAvailable(RUN, expiry)).isFalse();
    }

    @Test
    void runWithoutPermitIsNotAvailable() {
        assertThat(mPermits.isAvailable(RUN, NOW)).isFalse();
        mPermits.use(RUN, NOW);
        assertThat(mPermits.used()).isZero();
    }

    @Test
    void nothingIsAskedForWithoutDemand() {
        add(1, NOW);
        assertThat(mPermits.takeRequests(NOW)).isEmpty();
    }

    @Test
    void oneIsAskedForOnDemandAndOneMoreForEachUsed() {
        mPermits.recordDemand(RUN, false);
        assertThat(mPermits.takeRequests(NOW)).containsEntry(RUN, new PermitRequest(1, false));
        add(1, NOW);
        mPermits.use(RUN, NOW);
        mPermits.recordDemand(RUN, false);
        assertThat(mPermits.takeRequests(NOW)).containsEntry(RUN, new PermitRequest(2, false));
        assertThat(mPermits.takeRequests(NOW)).isEmpty();
    }

    @Test
    void oneIsAskedForEachRequestThatNothingElseCanServe() {
        mPermits.recordDemand(RUN, true);
        mPermits.recordDemand(RUN, true);
        mPermits.recordDemand(RUN, true);
        add(1, NOW);
        assertThat(mPermits.takeRequests(NOW)).containsEntry(RUN, new PermitRequest(2, true));
    }

    @Test
    void roomIsUnknownUntilTheAggregatorHasAnswered() {
        assertThat(mPermits.mayHaveRoom(RUN, NOW)).isTrue();
        Duration next = Duration.ofMillis(700);
        mPermits.add(RUN, new PermitGrant(0, Optional.of(next)), NOW, NOW);
        assertThat(mPermits.mayHaveRoom(RUN, NOW)).isFalse();
        assertThat(mPermits.roomAt(RUN, NOW)).isEqualTo(NOW.plus(next));
        assertThat(mPermits.mayHaveRoom(RUN, NOW.plus(next))).isTrue();
    }

    @Test
    void stateOfRunsWithoutLimitIsDropped() {
        add(1, NOW);
        mPermits.retain(new EndpointRateLimits());
        assertThat(mPermits.isAvailable(RUN, NOW)).isFalse();
    }
}
