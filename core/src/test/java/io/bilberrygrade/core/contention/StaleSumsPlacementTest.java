package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The load of the class's doc: 45 engines with 8 slots, sums 0.4 s old, a swing to 112 a second.
 */
final class StaleSumsPlacementTest {
    private static final int ENGINES = 45;
    private static final EngineCost COST =
            new EngineCost(8, 267_750, 57, 0.85, 0.0064, 0.00285, 177, 0.184, 2_048);
    private static final StreamNeed SHORT =
            new StreamNeed(new PromptShape(5_000, 1_824), true, Duration.ofMillis(313));
    private static final StreamNeed LONG =
            new StreamNeed(new PromptShape(220_000, 912), false, Duration.ofMillis(4_035));
    private static final StrictStreamTrend STEADY = trend(32, 32, 20);
    private static final StrictStreamTrend QUIET = trend(32, 32, 4);
    private static final Instant NOW = STEADY.receivedAt().plusMillis(200);

    private static StrictStreamTrend trend(int earlier, int latest, int prefilling) {
        return StrictStreamTrend.first(earlier, prefilling, Instant.EPOCH)
                .next(latest, prefilling, Instant.EPOCH.plusMillis(402));
    }

    private static EndpointWork work(int strict, long readMillis) {
        return new EndpointWork(strict, readMillis, strict, strict, strict * 5_000L);
    }

    private static ImmutableList<Candidate> engines(IntFunction<EndpointWork> work) {
        return IntStream.range(0, ENGINES)
                .mapToObj(
                        i ->
                                new Candidate(
                                        new RegisteredEndpoint(
                                                new EndpointId("e" + (char) ('A' + i)),
                                                1,
                                                new ServiceId("s"),
                                                new Address("10.0.0." + (i + 1), 80),
                                                new DataCentreId("a"),
                                                8,
                                                false),
                                        work.apply(i)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Six engines with most of the strict streams; twenty of the others prefill long prompts. */
    private static ImmutableList<Candidate> beforeSwing() {
        return engines(i -> i < 6 ? work(5, 0) : work(0, i < 26 ? 1_500 : 0));
    }

    private static Optional<StreamPlacement> place(
            StreamNeed need,
            ImmutableList<Candidate> candidates,
            StrictStreamTrend trend,
            double draw) {
        return StaleSumsPlacement.place(need, COST, candidates, trend, NOW, draw);
    }

    private static StrictStreamForecast forecast(
            ImmutableList<Candidate> candidates, StrictStreamTrend trend) {
        return StaleSumsPlacement.forecast(COST, candidates, trend, NOW);
    }

    /** Guards against changed decisions in fleets that aren't uneven or have recent sums. */
    @ParameterizedTest
    @CsvSource({"true, 402, true", "true, 108, false", "false, 402, false"})
    void appliesToUnevenFleetsWithOldSums(boolean uneven, long intervalMillis, boolean applies) {
        StrictStreamTrend trend =
                StrictStreamTrend.first(9, 0, Instant.EPOCH)
                        .next(9, 0, Instant.EPOCH.plusMillis(intervalMillis));
        FleetTraits traits = new FleetTraits(false, uneven);
        assertThat(StaleSumsPlacement.appliesTo(traits, Optional.of(trend))).isEqualTo(applies);
        assertThat(StaleSumsPlacement.appliesTo(traits, Optional.empty())).isFalse();
    }

    /** Guards against engines that are counted by the running streams while demand swings. */
    @Test
    void enginesForStrictStreamsGrowWithTheDemandBeforeTheStreamsRun() {
        assertThat(forecast(beforeSwing(), STEADY).engines()).isEqualTo(8);
        assertThat(forecast(beforeSwing(), trend(12, 32, 20)).engines()).isGreaterThan(20);
    }

    /** Guards against streams that queue for slots while engines without long prompts are idle. */
    @Test
    void strictStreamsUseAllEnginesWhileNoLongPromptNeedsThem() {
        StrictStreamForecast quiet = forecast(engines(i -> work(i < 6 ? 5 : 0, 0)), QUIET);
        assertThat(quiet.spread()).isTrue();
        assertThat(quiet.engines()).isEqualTo(ENGINES);
        assertThat(forecast(beforeSwing(), STEADY).spread()).isFalse();
    }

    /** Guards against herding: daemons with the same view overfill the engine that looks best. */
    @Test
    void daemonsWithTheSameOldViewFillTheEnginesEvenly() {
        ImmutableList<Candidate> view = engines(i -> work(i % 7, 0));
        StrictStreamTrend swing = trend(95, 135, 0);
        Random random = new Random(1);
        Map<EndpointId, Integer> placed = new HashMap<>();
        for (int arrival = 0; arrival < 90; arrival++) {
            StreamPlacement p = place(SHORT, view, swing, random.nextDouble()).orElseThrow();
            placed.merge(p.first().id(), 1, Integer::sum);
        }
        long overfilled =
                view.stream()
                        .filter(
                                c ->
                                        c.work().calls() + placed.getOrDefault(c.endpoint().id(), 0)
                                                > COST.slots())
                        .count();
        assertThat(overfilled).isLessThanOrEqualTo(ENGINES / 10);
        assertThat(placed.getOrDefault(view.get(6).endpoint().id(), 0)).isLessThanOrEqualTo(3);
    }

    /** Guards against long parts beside strict streams that the sums don't show yet. */
    @Test
    void longPromptAvoidsEnginesForStrictStreamsWithoutStreamYet() {
        ImmutableList<Candidate> view = engines(i -> i < 2 ? work(5, 0) : work(0, i < 26 ? 90 : 0));
        assertThat(forecast(view, STEADY).engines()).isEqualTo(4);
        StreamPlacement placed = place(LONG, view, STEADY, 0).orElseThrow();
        assertThat(placed.helpers())
                .extracting(e -> e.id().value())
                .doesNotContain("eA", "eB", "eC", "eD");
        assertThat(placed.first().id().value()).isGreaterThan("eD");
    }

    /** Guards against a refusal where all engines look full by old sums. */
    @Test
    void fallsBackWhereNoEngineHasCapacity() {
        assertThat(place(SHORT, engines(i -> work(8, 0)), STEADY, 0.5)).isPresent();
        assertThat(place(SHORT, ImmutableList.of(), STEADY, 0.5)).isEmpty();
        assertThat(place(LONG, ImmutableList.of(), STEADY, 0.5)).isEmpty();
    }

    /** Guards against a stream that is left without an engine by the largest draw. */
    @ParameterizedTest
    @CsvSource({"0", "0.5", "0.999999999999"})
    void everyDrawGivesAnEngineForStrictStreams(double draw) {
        StreamPlacement placed = place(SHORT, beforeSwing(), STEADY, draw).orElseThrow();
        assertThat(placed.helpers()).isEmpty();
        assertThat(placed.partMillis()).isEqualTo(COST.readMillis(5_000));
    }
}
