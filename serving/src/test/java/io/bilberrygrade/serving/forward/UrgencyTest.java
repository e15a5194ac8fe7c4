package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.contention.Rank;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.forward.WeightedService;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class UrgencyTest {
    private static Route route(long goalMillis) {
        return new Route(
                "r",
                "h",
                "/",
                RouteKind.STREAMING,
                false,
                Duration.ofSeconds(9),
                Duration.ofMillis(goalMillis),
                Optional.empty(),
                2,
                false,
                ImmutableList.of(new WeightedService(new ServiceId("s"), 1)));
    }

    // Guards against a rank that changes the order at engines in a deployment without contention.
    @ParameterizedTest
    @CsvSource({"300,0,2", "300,7,2", "500,1,2", "501,0,5", "9000,3,5"})
    void goalAloneDecidesWithoutContention(long goalMillis, int rank, int urgency) {
        assertThat(Urgency.of(route(goalMillis), new Rank(rank), FleetTraits.NONE))
                .isEqualTo(urgency);
    }

    // Guards against a short goal of a low rank that passes a higher rank, and against a class that
    // engines don't know.
    @ParameterizedTest
    @CsvSource({
        "300,0,0",
        "9000,0,1",
        "300,1,2",
        "9000,1,3",
        "300,4,8",
        "9000,4,9",
        "300,99,8",
        "9000,99,9"
    })
    void rankComesBeforeGoalUnderContention(long goalMillis, int rank, int urgency) {
        assertThat(Urgency.of(route(goalMillis), new Rank(rank), new FleetTraits(true, false)))
                .isEqualTo(urgency);
    }
}
