package io.bilberrygrade.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RetryBudgetTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private double mSlack = 2;
    private final RetryBudget mBudget = new RetryBudget(0.2, () -> mSlack, Duration.ofSeconds(10));

    @Test
    void slackIsAvailableWithoutRequests() {
        assertThat(takeRetries(T0, 5)).isEqualTo(2);
    }

    @Test
    void ratioAppliesToRequestsInWindow() {
        IntStream.range(0, 20).forEach(i -> mBudget.recordRequest(T0));
        assertThat(takeRetries(T0, 20)).isEqualTo(6);
        assertThat(takeRetries(T0.plusSeconds(11), 20)).isEqualTo(2);
    }

    @Test
    void outageIsNotAmplifiedByMoreThanTheRatio() {
        RetryBudget budget = new RetryBudget(0.2, () -> 100, Duration.ofSeconds(10));
        int retries = 0;
        for (int second = 0; second < 100; second++) {
            Instant now = T0.plusSeconds(second);
            for (int i = 0; i < 500; i++) {
                budget.recordRequest(now);
                retries += budget.tryRetry(now) ? 1 : 0;
            }
        }
        assertThat(retries).isLessThanOrEqualTo(100 * 500 / 5 + 100 * 100 / 10 + 100);
    }

    @Test
    void noWindowExceedsBudget() {
        assertThat(takeRetries(T0, 5)).isEqualTo(2);
        assertThat(takeRetries(T0.plusSeconds(9), 5)).isZero();
        assertThat(takeRetries(T0.plusSeconds(11), 5)).isEqualTo(2);
    }

    @Test
    void partOfTheSlackShrinksAsPeersAreFound() {
        assertThat(takeRetries(T0, 1)).isEqualTo(1);
        mSlack = 1;
        assertThat(takeRetries(T0, 1)).isZero();
    }

    // Guards against a bound that is a fraction and is rounded up to one retry more.
    @ParameterizedTest
    @CsvSource({"0, 0", "0.99, 0", "1, 1", "1.2, 1", "2.999, 2"})
    void fractionOfTheSlackIsNoRetry(double slack, int retries) {
        mSlack = slack;
        assertThat(takeRetries(T0, 5)).isEqualTo(retries);
    }

    // Guards against fractions of the ratio and of the slack that are each cut off, or rounded up.
    @Test
    void fractionsOfRatioAndSlackAddUp() {
        mSlack = 0.7;
        IntStream.range(0, 4).forEach(i -> mBudget.recordRequest(T0));
        assertThat(takeRetries(T0, 5)).isEqualTo(1);
    }

    private long takeRetries(Instant now, int tries) {
        return IntStream.range(0, tries).filter(i -> mBudget.tryRetry(now)).count();
    }
}
