package io.bilberrygrade.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EndpointRateLimitsTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);
    private static final RateLimit TWO = new RateLimit(2);
    private static final EndpointRun RUN = new EndpointRun(new EndpointId("e"), 1);

    private final EndpointRateLimits mLimits = new EndpointRateLimits();

    @Test
    void limitIsInForceFromTheFirstAnswerThatStatesIt() {
        assertThat(mLimits.recordLimit(RUN, TWO, NOW)).isTrue();
        assertThat(mLimits.of(RUN)).contains(TWO);
        assertThat(mLimits.limitedRuns()).containsExactly(RUN);
    }

    @Test
    void repeatedLimitIsNoChange() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.recordLimit(RUN, TWO, NOW.plusSeconds(1))).isFalse();
    }

    @Test
    void latestLimitReplacesEarlierOne() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.recordLimit(RUN, new RateLimit(1), NOW.plusSeconds(1))).isTrue();
        assertThat(mLimits.of(RUN)).contains(new RateLimit(1));
    }

    @Test
    void answerWithoutLimitEndsIt() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.recordNoLimit(RUN, NOW.plusSeconds(1), NOW.plusSeconds(2))).isTrue();
        assertThat(mLimits.of(RUN)).isEmpty();
        assertThat(mLimits.limitedRuns()).isEmpty();
    }

    @Test
    void answerToRequestSentBeforeTheStatementDoesNotEndIt() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.recordNoLimit(RUN, NOW.minusMillis(1), NOW.plusSeconds(2))).isFalse();
        assertThat(mLimits.of(RUN)).contains(TWO);
    }

    @Test
    void answerWithoutLimitOfUnlimitedRunIsNotKept() {
        assertThat(mLimits.recordNoLimit(RUN, NOW, NOW)).isFalse();
        assertThat(mLimits.limitedRuns()).isEmpty();
    }

    @Test
    void nextRunOfTheEndpointHasNoLimit() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.of(new EndpointRun(RUN.id(), 2))).isEmpty();
    }

    @Test
    void oldestStatementIsDroppedBeyondTheBound() {
        for (int i = 0; i <= EndpointRateLimits.MAX_RUNS; i++) {
            mLimits.recordLimit(new EndpointRun(new EndpointId("e" + i), 1), TWO, NOW);
        }
        assertThat(mLimits.limitedRuns()).hasSize(EndpointRateLimits.MAX_RUNS);
        assertThat(mLimits.of(new EndpointRun(new EndpointId("e0"), 1))).isEmpty();
    }

    private static RateLimitStatement passedOn(Optional<RateLimit> limit, Instant statedAt) {
        return new RateLimitStatement(RUN, limit, statedAt);
    }

    @Test
    void laterStatementOfPeerReplacesOwn() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.merge(passedOn(Optional.empty(), NOW.plusMillis(1)))).isTrue();
        assertThat(mLimits.of(RUN)).isEmpty();
    }

    @Test
    void earlierStatementOfPeerIsIgnored() {
        mLimits.recordLimit(RUN, TWO, NOW);
        assertThat(mLimits.merge(passedOn(Optional.empty(), NOW))).isFalse();
        assertThat(mLimits.of(RUN)).contains(TWO);
    }

    @Test
    void endOfUnknownLimitIsNotKept() {
        assertThat(mLimits.merge(passedOn(Optional.empty(), NOW))).isFalse();
        assertThat(mLimits.isEmpty()).isTrue();
    }

    @Test
    void onlyOwnStatementsArePassedOnToOthers() {
        mLimits.merge(passedOn(Optional.of(TWO), NOW));
        assertThat(mLimits.recentOwn(NOW)).isEmpty();
        mLimits.recordLimit(RUN, TWO, NOW.plusSeconds(1));
        assertThat(mLimits.recentOwn(NOW.plusSeconds(2))).hasSize(1);
        assertThat(mLimits.recentOwn(NOW.plusSeconds(9))).isEmpty();
    }

    @Test
    void limitOfRegisteredRunIsKeptWithoutAnswers() {
        mLimits.recordLimit(RUN, TWO, NOW);
        mLimits.removeOld(run -> true, NOW.plus(EndpointRateLimits.RETENTION).plusSeconds(1));
        assertThat(mLimits.of(RUN)).contains(TWO);
    }

    @Test
    void oldLimitOfUnregisteredRunIsDropped() {
        mLimits.recordLimit(RUN, TWO, NOW);
        mLimits.removeOld(run -> false, NOW.plus(EndpointRateLimits.RETENTION));
        assertThat(mLimits.of(RUN)).contains(TWO);
        mLimits.removeOld(run -> false, NOW.plus(EndpointRateLimits.RETENTION).plusMillis(1));
        assertThat(mLimits.isEmpty()).isTrue();
    }
}
