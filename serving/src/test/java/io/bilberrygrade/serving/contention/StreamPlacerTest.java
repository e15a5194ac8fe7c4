package io.bilberrygrade.serving.contention;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.ReceivedSums;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Places short prompts by sums that change as in a swing of the demand. */
final class StreamPlacerTest {
    private static final EngineCost COST =
            new EngineCost(8, 267_750, 57, 0.85, 0.0064, 0.00285, 177, 0.184, 2_048);
    private static final StreamNeed SHORT =
            new StreamNeed(new PromptShape(5_000, 1_824), true, Duration.ofMillis(313));
    private static final FleetMember AGGREGATOR = new FleetMember(new Address("10.0.0.1", 1), 1);

    private final ReceivedSums mSums = new ReceivedSums();
    private final List<Event> mEvents = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private long mVersion;

    private StreamPlacer placer(boolean uneven) {
        return new StreamPlacer(
                mSums,
                () -> new FleetTraits(false, uneven),
                RandomSource.SPLIT_MIX_64.create(1),
                mEvents::add);
    }

    private static EndpointId id(int engine) {
        return new EndpointId("e" + (char) ('A' + engine));
    }

    /** Receives sums in which each of the first engines has as many streams as given. */
    private void receive(int engines, int streams, int prefilling, long afterMillis) {
        ImmutableMap.Builder<EndpointId, EndpointWork> sums = ImmutableMap.builder();
        for (int i = 0; i < 45; i++) {
            int strict = i < engines ? streams : 0;
            int prefill = i >= 45 - prefilling ? 500 : 0;
            sums.put(id(i), new EndpointWork(strict, prefill, strict, strict, strict * 5_000L));
        }
        mNow = mNow.plusMillis(afterMillis);
        mSums.apply(
                AGGREGATOR,
                mVersion,
                new WorkSums.Update(++mVersion, true, sums.buildOrThrow()),
                ImmutableMap.of(),
                mNow);
    }

    private ImmutableList<Candidate> candidates() {
        return IntStream.range(0, 45)
                .mapToObj(
                        i ->
                                new Candidate(
                                        new RegisteredEndpoint(
                                                id(i),
                                                1,
                                                new ServiceId("s"),
                                                new Address("10.0.0." + (i + 1), 80),
                                                new DataCentreId("a"),
                                                8,
                                                false),
                                        mSums.others(id(i), mNow)))
                .collect(ImmutableList.toImmutableList());
    }

    private StreamPlacement place(StreamPlacer placer) {
        return placer.place(
                        SHORT,
                        COST,
                        candidates(),
                        mNow,
                        () -> fail("placed as if the sums were recent"))
                .orElseThrow();
    }

    private Optional<StreamPlacement> earlierPlacement() {
        return StreamPlacementPolicy.place(SHORT, COST, candidates());
    }

    /** Guards against changed placements where the deployment doesn't call for it. */
    @ParameterizedTest
    @CsvSource({"false, 402", "true, 108"})
    void placementIsTheEarlierOneUnlessSwitchedOnByOldSums(boolean uneven, long intervalMillis) {
        StreamPlacer placer = placer(uneven);
        for (int sum = 0; sum < 5; sum++) {
            receive(6 + 5 * sum, 5, 20 - 5 * sum, intervalMillis);
            assertThat(placer.place(SHORT, COST, candidates(), mNow, this::earlierPlacement))
                    .isEqualTo(earlierPlacement());
        }
        assertThat(mEvents).isEmpty();
        assertThat(placer.strictEngines()).isZero();
    }

    /**
     * Guards against a swing that is followed only once its streams run, and against log floods.
     */
    @Test
    void swingWidensTheEnginesAndIsLoggedWithItsInputs() {
        StreamPlacer placer = placer(true);
        receive(6, 5, 20, 402);
        receive(6, 5, 20, 402);
        place(placer);
        place(placer);
        assertThat(mEvents)
                .containsExactly(
                        new ForwardEvent.StrictStreamEnginesChanged(8, 45, false, 30, 20, 20, 201));
        receive(14, 5, 18, 402);
        Set<EndpointId> chosen = new HashSet<>();
        for (int arrival = 0; arrival < 60; arrival++) {
            chosen.add(place(placer).first().id());
        }
        assertThat(mEvents).hasSize(2);
        assertThat(placer.strictEngines()).isGreaterThan(30);
        assertThat(chosen).hasSizeGreaterThan(14);
    }

    /** Guards against a trend that outlives the sums after the aggregator is lost. */
    @Test
    void placementIsTheEarlierOneAfterTheSumsExpired() {
        StreamPlacer placer = placer(true);
        receive(6, 5, 0, 402);
        receive(6, 5, 0, 402);
        place(placer);
        assertThat(placer.strictEngines()).isEqualTo(45);
        mNow = mNow.plusSeconds(2);
        assertThat(placer.place(SHORT, COST, candidates(), mNow, this::earlierPlacement))
                .isEqualTo(earlierPlacement());
        assertThat(placer.strictEngines()).isZero();
    }
}
