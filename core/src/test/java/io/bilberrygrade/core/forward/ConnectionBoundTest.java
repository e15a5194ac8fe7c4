package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConnectionBoundTest {
    private static final ForwardService SERVICE =
            new ForwardService(new ServiceId("s"), 9, Optional.empty());

    @ParameterizedTest
    @CsvSource({"0, true", "8, true", "9, false", "10, false"})
    void excludesEndpointsAtConnectionLimit(int open, boolean kept) {
        Candidate candidate =
                new Candidate(
                        new RegisteredEndpoint(
                                new EndpointId("e"),
                                1,
                                SERVICE.id(),
                                new Address("10.0.0.1", 80),
                                new DataCentreId("a"),
                                6,
                                false),
                        new EndpointWork(open, 0, 0, 0, 0));
        assertThat(ConnectionBound.open(SERVICE, ImmutableList.of(candidate)).contains(candidate))
                .isEqualTo(kept);
    }
}
