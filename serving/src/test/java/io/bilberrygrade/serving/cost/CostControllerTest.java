package io.bilberrygrade.serving.cost;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.exchange.ReceivedSums;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.PlainPlacementPolicy;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import io.bilberrygrade.core.forward.WeightedService;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.CostEvent;
import io.bilberrygrade.serving.event.Event;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against changed decisions in deployments that don't call for learned costs. */
final class CostControllerTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final DataCentreId HERE = new DataCentreId("z0");
    private static final EngineCost COST =
            new EngineCost(8, 450_000, 52, 0.925, 0.00483, 0.00254, 256, 0.0917, 2_048);
    private static final Route ROUTE =
            new Route(
                    "r",
                    "h",
                    "/",
                    RouteKind.STREAMING,
                    true,
                    Duration.ofSeconds(5),
                    Duration.ofMillis(300),
                    Optional.of(Duration.ofMillis(200)),
                    2,
                    true,
                    ImmutableList.of(new WeightedService(new ServiceId("s"), 1)));

    private final List<Event> mEvents = new ArrayList<>();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(7);

    private CostController controller(boolean contended) {
        return new CostController(
                () -> new FleetTraits(contended, false),
                new ReceivedSums(),
                mEvents::add,
                mMetrics);
    }

    private ImmutableList<Candidate> candidates(int count) {
        ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            EndpointWork work =
                    new EndpointWork(
                            mRandom.nextInt(10),
                            mRandom.nextInt(120),
                            mRandom.nextInt(5),
                            mRandom.nextInt(5),
                            mRandom.nextInt(300_000));
            candidates.add(new Candidate(endpoint(i), work));
        }
        return candidates.build();
    }

    private static RegisteredEndpoint endpoint(int number) {
        return new RegisteredEndpoint(
                new EndpointId("e" + number),
                1,
                new ServiceId("s"),
                new Address("10.0.0.1", 1 + number),
                new DataCentreId("z" + number % 3),
                8,
                false);
    }

    private static StreamNeed need(long tokens) {
        return StreamNeed.of(new PromptShape(tokens, 100), ROUTE.goal(), ROUTE.gapGoal());
    }

    @Test
    void decisionsAreThoseOfTheEarlierPoliciesWithoutTheTraits() {
        CostController controller = controller(false);
        for (int i = 0; i < 1_000; i++) {
            ImmutableList<Candidate> candidates = candidates(mRandom.nextInt(46));
            StreamNeed need = need(1 + mRandom.nextInt(20_000));
            assertThat(controller.placePlain(ROUTE, HERE, candidates, NOW))
                    .isEqualTo(PlainPlacementPolicy.place(HERE, candidates));
            assertThat(controller.placeStream(ROUTE, need, COST, candidates, NOW))
                    .isEqualTo(StreamPlacementPolicy.place(need, COST, candidates));
        }
        assertThat(controller.plain(ROUTE, endpoint(0), EndpointWork.NONE, NOW)).isEmpty();
        assertThat(mMetrics.getCounters()).isEmpty();
    }

    @Test
    void plainDecisionsAreThoseOfTheEarlierPolicyUntilDurationsAreKnown() {
        CostController controller = controller(true);
        ImmutableList<Candidate> candidates = candidates(7);
        assertThat(controller.placePlain(ROUTE, HERE, candidates, NOW))
                .isEqualTo(PlainPlacementPolicy.place(HERE, candidates));
        assertThat(mMetrics.counter("cost_placements.published").getCount()).isEqualTo(1);
    }

    private void serve(CostController controller, int number, long millis) {
        AttemptCost attempt =
                controller.plain(ROUTE, endpoint(number), EndpointWork.NONE, NOW).orElseThrow();
        controller.recordTime(attempt, true, Duration.ofMillis(millis), NOW);
    }

    @ParameterizedTest
    @ValueSource(longs = {20, 2_000})
    void learnedDurationIsReportedAsWork(long millis) {
        CostController controller = controller(true);
        for (int i = 0; i < 20; i++) {
            serve(controller, i % 7, millis);
        }
        assertThat(controller.plain(ROUTE, endpoint(0), EndpointWork.NONE, NOW))
                .hasValueSatisfying(c -> assertThat(c.workMillis()).isEqualTo(millis));
        assertThat(mEvents).singleElement().isInstanceOf(CostEvent.CostLearned.class);
    }

    /** A stalled service would otherwise fill the log. */
    @Test
    void missesAreLoggedOnceInSecond() {
        CostController controller = controller(true);
        for (int i = 0; i < 20; i++) {
            serve(controller, i % 7, 50);
        }
        mEvents.clear();
        for (int i = 0; i < 5; i++) {
            serve(controller, i, 5_000);
        }
        assertThat(mEvents).filteredOn(e -> e instanceof CostEvent.PredictionMissed).hasSize(1);
    }
}
