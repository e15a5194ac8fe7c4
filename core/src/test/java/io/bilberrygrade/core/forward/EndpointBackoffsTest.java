package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class EndpointBackoffsTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private final EndpointBackoffs mBackoffs = new EndpointBackoffs();

    private static RegisteredEndpoint endpoint(String id, long startedAt) {
        return new RegisteredEndpoint(
                new EndpointId(id),
                startedAt,
                new ServiceId("s"),
                new Address("10.0.0.1", 80),
                new DataCentreId("a"),
                4,
                false);
    }

    @ParameterizedTest
    @CsvSource({
        "2, 2000",
        "0.25, 250",
        " 1.5 , 1500",
        "0.0001, 1",
        "1e9, 3600000",
        "Infinity, 3600000"
    })
    void parsesSecondsUpToMaximum(String text, long millis) {
        assertThat(EndpointBackoffs.parse(text)).contains(Duration.ofMillis(millis));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-3", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"})
    void ignoresInvalidValues(String text) {
        assertThat(EndpointBackoffs.parse(text)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0, 1999, true", "0, 2000, false", "0.5, 2249, true", "0.5, 2250, false"})
    void backsOffForRequestedTimePlusSpread(double draw, long millis, boolean rests) {
        mBackoffs.recordBackoff(endpoint("e", 1).run(), Duration.ofSeconds(2), draw, T0);
        assertThat(mBackoffs.isBackingOff(endpoint("e", 1).run(), T0.plusMillis(millis)))
                .isEqualTo(rests);
    }

    @Test
    void shorterBackoffDoesNotEndLongerOneAndNextRunIsAvailable() {
        mBackoffs.recordBackoff(endpoint("e", 1).run(), Duration.ofSeconds(9), 0, T0);
        mBackoffs.recordBackoff(endpoint("e", 1).run(), Duration.ofSeconds(1), 0, T0);
        assertThat(mBackoffs.isBackingOff(endpoint("e", 1).run(), T0.plusSeconds(8))).isTrue();
        assertThat(mBackoffs.isBackingOff(endpoint("e", 2).run(), T0)).isFalse();
    }

    @Test
    void firstReturnIsPresentOnlyWhileAllEndpointsBackOff() {
        ImmutableList<RegisteredEndpoint> both =
                ImmutableList.of(endpoint("a", 1), endpoint("b", 1));
        mBackoffs.recordBackoff(endpoint("a", 1).run(), Duration.ofSeconds(9), 0, T0);
        assertThat(mBackoffs.earliestAvailableAt(both, T0)).isEmpty();
        mBackoffs.recordBackoff(endpoint("b", 1).run(), Duration.ofSeconds(3), 0, T0);
        assertThat(mBackoffs.earliestAvailableAt(both, T0)).contains(T0.plusSeconds(3));
        mBackoffs.removeExpired(T0.plusSeconds(3));
        assertThat(mBackoffs.earliestAvailableAt(both, T0.plusSeconds(3))).isEmpty();
        assertThat(mBackoffs.earliestAvailableAt(ImmutableList.of(), T0)).isEmpty();
    }
}
