package io.bilberrygrade.core.gang;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GangLeasesTest {
    private static final RequestId FIRST = new RequestId("r1");
    private static final RequestId SECOND = new RequestId("r2");
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    private final GangLeases mLeases =
            GangLeases.NONE.grant(FIRST, engines("a", "b", "c"), LIFETIME, START).orElseThrow();

    @ParameterizedTest
    @CsvSource({"r2, c, 9, false", "r2, d, 9, true", "r2, c, 10, true", "r1, c, 9, true"})
    void grantsAllOrNothingUntilLeasesExpire(
            String request, String engine, long seconds, boolean granted) {
        Optional<GangLeases> leases =
                mLeases.grant(
                        new RequestId(request),
                        engines(engine, "e"),
                        LIFETIME,
                        START.plusSeconds(seconds));
        assertThat(leases.isPresent()).isEqualTo(granted);
    }

    @Test
    void releaseFreesTheEnginesOfOneRequestOnly() {
        GangLeases both = mLeases.grant(SECOND, engines("d"), LIFETIME, START).orElseThrow();
        GangLeases released = both.release(FIRST, START);
        assertThat(released.busy(new RequestId("r3"), engines("a", "d"), START))
                .isEqualTo(engines("d"));
    }

    @Test
    void keepsStewardOrderWhenFirstIsGone() {
        ImmutableSet<InstanceId> live =
                ImmutableSet.of(new InstanceId("1"), new InstanceId("2"), new InstanceId("3"));
        ImmutableList<InstanceId> order =
                StewardRanking.of(new ModelId("m"), new DataCentreId("dc"), live);
        ImmutableSet<InstanceId> rest =
                ImmutableSet.copyOf(order.subList(1, order.size()).reverse());
        assertThat(StewardRanking.of(new ModelId("m"), new DataCentreId("dc"), rest))
                .isEqualTo(order.subList(1, order.size()));
    }

    private static ImmutableSet<EndpointId> engines(String... ids) {
        ImmutableSet.Builder<EndpointId> engines = ImmutableSet.builder();
        for (String id : ids) {
            engines.add(new EndpointId(id));
        }
        return engines.build();
    }
}
