package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.quarantine.Suspect;
import io.smallrye.mutiny.Uni;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CrashDetectorTest {
    private static final RegisteredEndpoint ENDPOINT =
            new RegisteredEndpoint(
                    new EndpointId("e"),
                    1,
                    new ServiceId("s"),
                    new Address("10.0.0.9", 80),
                    new DataCentreId("z"),
                    4,
                    false);

    private final Clocks mClocks =
            new Clocks(InstantSource.fixed(Instant.EPOCH), InstantSource.fixed(Instant.EPOCH));
    private final QuarantineController mQuarantine =
            new QuarantineController(
                    new FleetView(
                            new FleetMember(new Address("10.0.0.1", 1), 1), ImmutableList.of()),
                    e -> {});

    // Guards against sound requests that are blamed for crashes, since this daemon's links are cut.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusalIsNoCrashWhileNoEndpointCanBeReached(boolean cut) {
        CrashDetector detector =
                new CrashDetector(
                        mQuarantine,
                        address -> Uni.createFrom().item(true),
                        service -> cut,
                        mClocks,
                        delay -> Uni.createFrom().voidItem());
        boolean crashed =
                detector.onConnectionClosed(ENDPOINT, ImmutableSet.of(Suspect.request(1)), true)
                        .await()
                        .indefinitely();
        assertThat(crashed).isEqualTo(!cut);
        assertThat(mQuarantine.evidence().records()).hasSize(cut ? 0 : 1);
    }
}
