package io.bilberrygrade.core.cost;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.Comparator;
import org.junit.jupiter.api.Test;

/** Guards against placements that count requests where their work differs. */
final class PredictedPlacementTest {
    private static final DataCentreId HERE = new DataCentreId("here");
    private static final int SLOTS = 2;
    private static final EngineCost COST =
            new EngineCost(8, 450_000, 52, 0.925, 0.00483, 0.00254, 256, 0.0917, 2_048);

    private static Candidate candidate(String id, String dataCentre, int calls, long millis) {
        return new Candidate(
                new RegisteredEndpoint(
                        new EndpointId(id),
                        1,
                        new ServiceId("s"),
                        new Address("10.0.0.1", 1),
                        new DataCentreId(dataCentre),
                        SLOTS,
                        false),
                new EndpointWork(calls, millis, 0, 0, 0));
    }

    /** Returns the id of the chosen endpoint; the endpoint "slow" has a quarter of the speed. */
    private static String placePlain(Candidate... candidates) {
        return PredictedPlacement.plain(
                        HERE,
                        ImmutableList.copyOf(candidates),
                        100,
                        run -> run.id().value().equals("slow") ? 0.25 : 1)
                .orElseThrow()
                .id()
                .value();
    }

    @Test
    void fewerRequestsWithMoreWorkComeLast() {
        assertThat(placePlain(candidate("long", "here", 2, 9_000), candidate("short", "x", 4, 40)))
                .isEqualTo("short");
    }

    @Test
    void busyEndpointIsPreferredToSlowOne() {
        assertThat(placePlain(candidate("slow", "here", 0, 0), candidate("busy", "x", 3, 300)))
                .isEqualTo("busy");
        assertThat(placePlain(candidate("slow", "here", 0, 0), candidate("full", "x", 20, 2_000)))
                .isEqualTo("slow");
    }

    @Test
    void requestsOfPeersThatReportNoWorkCountAsThisOne() {
        assertThat(placePlain(candidate("older", "here", 8, 0), candidate("other", "x", 4, 400)))
                .isEqualTo("other");
    }

    @Test
    void equalEndpointInTheSameDataCentreIsPreferred() {
        assertThat(placePlain(candidate("far", "x", 1, 100), candidate("near", "here", 1, 100)))
                .isEqualTo("near");
    }

    /** All instances would choose the least loaded one until they learn of each other. */
    @Test
    void onlyTwoEndpointsAreCompared() {
        assertThat(
                        placePlain(
                                candidate("a", "x", 5, 500),
                                candidate("b", "x", 4, 400),
                                candidate("idle", "here", 0, 0)))
                .isEqualTo("b");
    }

    @Test
    void noEndpointIsChosenOfNone() {
        assertThat(PredictedPlacement.plain(HERE, ImmutableList.of(), 100, run -> 1)).isEmpty();
    }

    @Test
    void streamsPreferTheEngineWithTheEarlierFirstEvent() {
        Comparator<Candidate> order =
                PredictedPlacement.streamOrder(
                        COST, 5_000, 1, run -> run.id().value().equals("slow") ? 0.25 : 1);
        assertThat(order.compare(candidate("a", "x", 2, 40), candidate("b", "x", 1, 60)))
                .isNegative();
        assertThat(order.compare(candidate("slow", "x", 0, 0), candidate("b", "x", 4, 100)))
                .isPositive();
        assertThat(order.compare(candidate("a", "x", 2, 40), candidate("b", "x", 1, 40)))
                .isPositive();
    }
}
