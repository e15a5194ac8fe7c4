package io.bilberrygrade.core.routing;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.lane.Lane;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BacklogEstimatorTest {
    private static final PrefillRate RATE = PrefillRate.prior(40_000);
    private static final EndpointLoad LOAD = new EndpointLoad(30_000, 10_000, 3, 100_000, START);

    @ParameterizedTest
    @CsvSource({
        "0, 10000, 20000",
        "100, 6000, 20000",
        "250, 0, 20000",
        "500, 0, 10000",
        "60000, 0, 0"
    })
    void subtractsWorkDoneSinceReport(long millis, double shortTokens, double longTokens) {
        assertThat(estimate(ImmutableList.of(), 1, millis))
                .isEqualTo(new Backlog(shortTokens, longTokens));
    }

    @ParameterizedTest
    @CsvSource({
        "SHORT, 1, 1, 12000, 20000",
        "SHORT, 1, 5, 20000, 20000",
        "LONG, 1, 5, 10000, 22000",
        "SHORT, -1, 5, 10000, 20000"
    })
    void addsOwnDispatchesSinceReport(
            Lane lane, long sentMillis, int daemons, double shortTokens, double longTokens) {
        OwnDispatch own =
                new OwnDispatch(lane, 2_000, START.plusMillis(sentMillis), Optional.empty());
        assertThat(estimate(ImmutableList.of(own), daemons, 0))
                .isEqualTo(new Backlog(shortTokens, longTokens));
    }

    @Test
    void subtractsOwnPrefillsEndedSinceReport() {
        Instant sent = START.minusMillis(50);
        OwnDispatch done =
                new OwnDispatch(Lane.SHORT, 7_000, sent, Optional.of(START.plusMillis(10)));
        OwnDispatch doneBefore =
                new OwnDispatch(Lane.SHORT, 2_000, sent, Optional.of(START.minusMillis(10)));
        assertThat(estimate(ImmutableList.of(done, doneBefore), 1, 0).shortTokens())
                .isEqualTo(3_000);
    }

    private static Backlog estimate(ImmutableList<OwnDispatch> own, int daemons, long millis) {
        return BacklogEstimator.estimate(LOAD, own, RATE, daemons, START.plusMillis(millis));
    }
}
