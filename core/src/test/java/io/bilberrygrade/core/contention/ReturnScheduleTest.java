package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ReturnScheduleTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final Duration EARLIEST = Duration.ofMillis(400);
    private static final Duration NEED = Duration.ofMillis(100);
    private static final Duration LEFT = Duration.ofSeconds(9);

    private final ReturnSchedule mSchedule = new ReturnSchedule();

    private ReturnSchedule.Return refuse(long caller, int rank, Instant now) {
        return mSchedule.refuse(caller, new Rank(rank), EARLIEST, NEED, LEFT, now);
    }

    // Guards against callers of one burst that return together and are refused again.
    @Test
    void callersOfBurstReturnAtTheRateOfFreeCapacity() {
        List<Duration> delays = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            delays.add(refuse(i, 0, NOW).delay());
        }
        for (int i = 0; i < delays.size(); i++) {
            assertThat(delays.get(i)).isEqualTo(EARLIEST.plus(NEED.multipliedBy(i + 1)));
        }
    }

    // Guards against a caller that gains by asking often, or uses up the capacity of others.
    @Test
    void askingAgainEarlyChangesNothing() {
        Instant at = NOW.plus(refuse(1, 2, NOW).delay());
        Duration next = mSchedule.delay(Rank.HIGHEST, EARLIEST, NEED, NOW);
        for (int i = 1; i < 50; i++) {
            Instant now = NOW.plusMillis(i);
            assertThat(mSchedule.claim(1, now)).isEqualTo(ReturnSchedule.Claim.EARLY);
            assertThat(now.plus(refuse(1, 2, now).delay())).isEqualTo(at);
        }
        assertThat(mSchedule.delay(Rank.HIGHEST, EARLIEST, NEED, NOW)).isEqualTo(next);
        assertThat(mSchedule.claim(1, at)).isEqualTo(ReturnSchedule.Claim.DUE);
        assertThat(mSchedule.claim(1, at)).isEqualTo(ReturnSchedule.Claim.NONE);
    }

    // Guards against low ranks that leave nothing early to a higher rank that is refused later.
    @Test
    void higherRankComesEarlier() {
        for (int i = 0; i < 5; i++) {
            refuse(i, 3, NOW);
        }
        Duration low = mSchedule.delay(new Rank(3), EARLIEST, NEED, NOW);
        Duration high = mSchedule.delay(Rank.HIGHEST, EARLIEST, NEED, NOW);
        assertThat(high).isEqualTo(EARLIEST.plus(NEED)).isLessThan(low);
    }

    // Guards against capacity that is kept for a caller that won't wait so long, or has gone.
    @Test
    void nothingIsKeptForCallersThatWillNotCome() {
        assertThat(
                        mSchedule
                                .refuse(
                                        1,
                                        Rank.HIGHEST,
                                        EARLIEST,
                                        NEED,
                                        Duration.ofMillis(1_499),
                                        NOW)
                                .promised())
                .isFalse();
        assertThat(mSchedule.size()).isZero();
        refuse(2, 0, NOW);
        assertThat(mSchedule.size()).isEqualTo(1);
        assertThat(mSchedule.claim(2, NOW.plusSeconds(5))).isEqualTo(ReturnSchedule.Claim.NONE);
        assertThat(mSchedule.size()).isZero();
    }
}
