package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.room.FleetTraits;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SumsOnDemandTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration GOAL = Duration.ofMillis(300);

    // Guards against calls in a fleet whose periodic exchange is recent enough, or that is even.
    @ParameterizedTest
    @CsvSource({"false,402,false", "true,80,false", "true,150,false", "true,151,true"})
    void onlyUnevenFleetsWithOldSumsAskOnDemand(boolean uneven, long millis, boolean active) {
        FleetTraits traits = new FleetTraits(true, uneven);
        assertThat(SumsOnDemand.isActive(traits, Duration.ofMillis(millis))).isEqualTo(active);
    }

    @ParameterizedTest
    @CsvSource({"0,false", "60,false", "61,true", "402,true"})
    void sumsMayBeAsOldAsFifthOfGoal(long ageMillis, boolean tooOld) {
        Optional<Duration> age = Optional.of(Duration.ofMillis(ageMillis));
        assertThat(SumsOnDemand.isTooOld(age, GOAL)).isEqualTo(tooOld);
        assertThat(SumsOnDemand.isTooOld(Optional.empty(), GOAL)).isTrue();
        assertThat(SumsOnDemand.maxWait(GOAL)).isEqualTo(Duration.ofMillis(30));
    }

    // Guards against an aggregator that a flood of requests at all daemons overloads.
    @ParameterizedTest
    @CsvSource({"51", "134", "410", "1000"})
    void callsOfAllDaemonsStayBounded(int fleet) {
        SumsOnDemand budget = new SumsOnDemand();
        int calls = 0;
        int millis = 20_000;
        for (int at = 0; at < millis; at++) {
            calls += budget.tryCall(fleet, START.plusMillis(at)) ? 1 : 0;
        }
        double perSecond = (calls - SumsOnDemand.MAX_BURST) * fleet / (millis / 1_000.0);
        assertThat(perSecond)
                .isBetween(
                        SumsOnDemand.MAX_CALLS_PER_SECOND * 0.9,
                        SumsOnDemand.MAX_CALLS_PER_SECOND * 1.1);
    }

    @Test
    void clockThatStepsBackGivesNoCalls() {
        SumsOnDemand budget = new SumsOnDemand();
        while (budget.tryCall(134, START)) {
            assertThat(budget).isNotNull();
        }
        assertThat(budget.tryCall(134, START.minusSeconds(5))).isFalse();
    }
}
