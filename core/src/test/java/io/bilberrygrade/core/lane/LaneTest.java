package io.bilberrygrade.core.lane;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.routing.FakeFleet;
import java.time.Duration;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LaneTest {
    private static final LanePlan PLAN =
            new LanePlan(Duration.ofMillis(1_500), 40_000, ImmutableSet.of());

    @ParameterizedTest
    @CsvSource({
        "1500, 1000, 0",
        "1500, 7500, 0",
        "1500, 7501, 1",
        "1500, 60000, 1",
        "1500, 60001, 2",
        "4000, 1000, 0",
        "4000, 300000, 3",
        "30000, 1000, 1",
        "30000, 1000000, 6",
        "900000, 1000000, 7"
    })
    void derivesPriorityFromTargetAndLength(long targetMillis, long tokens, int priority) {
        WorkClass workClass =
                new WorkClass(new WorkClassId("c"), Duration.ofMillis(targetMillis), 0.5);
        assertThat(PLAN.priority(workClass, tokens)).isEqualTo(priority);
        assertThat(PLAN.lane(tokens) == Lane.LONG).isEqualTo(priority >= 2);
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "15000, 1", "17000, 2", "140000, 9", "900000, 12"})
    void sizesLongLaneByDemand(double demand, int engines) {
        assertThat(LongLaneSize.initial(START).next(demand, 40_000, 12, START).engines())
                .isEqualTo(engines);
    }

    @ParameterizedTest
    @CsvSource({
        "60000, 9, 4",
        "60000, 10, 4",
        "40000, 10, 4",
        "36000, 9, 4",
        "36000, 10, 3",
        "0, 10, 3"
    })
    void shrinksOneByOneAfterPauseAndWithSlack(double demand, long seconds, int engines) {
        LongLaneSize four = new LongLaneSize(4, START);
        assertThat(four.next(demand, 40_000, 12, START.plusSeconds(seconds)).engines())
                .isEqualTo(engines);
    }

    @Test
    void demandFollowsArrivalsAndDecays() {
        LongDemand demand = LongDemand.none(START);
        for (int i = 0; i < 200; i++) {
            demand = demand.arrived(100_000, START.plusSeconds(i));
        }
        assertThat(demand.tokensPerSecond()).isCloseTo(100_000, Offset.offset(5_000.0));
        assertThat(demand.at(START.plusSeconds(400)).tokensPerSecond()).isLessThan(10);
    }

    @Test
    void longLanesAreNestedAndLeaveEnginesFreeInEachDataCentre() {
        ImmutableList<Endpoint> engines = FakeFleet.engines(16);
        int most = LongEngines.most(engines);
        assertThat(most).isEqualTo(13);
        ImmutableSet<EndpointId> smaller = ImmutableSet.of();
        for (int i = 1; i <= most; i++) {
            ImmutableSet<EndpointId> chosen = LongEngines.choose(engines, i);
            assertThat(chosen).hasSize(i).containsAll(smaller);
            smaller = chosen;
        }
        ImmutableSet<EndpointId> all = smaller;
        for (int dc = 0; dc < 3; dc++) {
            int centre = dc;
            assertThat(engines)
                    .anyMatch(
                            e ->
                                    e.dataCentre().value().equals("dc-" + centre)
                                            && !all.contains(e.id()));
        }
        assertThat(LongEngines.choose(engines, 16)).hasSize(most);
    }
}
