package io.bilberrygrade.core.routing;

import static io.bilberrygrade.core.routing.FakeFleet.START;
import static io.bilberrygrade.core.routing.FakeFleet.request;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.request.InferenceRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PredictivePolicyTest {
    private static final PredictivePolicy POLICY = new PredictivePolicy(true, 1);

    private final FakeFleet mFleet = new FakeFleet(4);

    @ParameterizedTest
    @CsvSource({
        "1000, 0, 0, 25",
        "1000, 40000, 0, 1025",
        "1000, 0, 200000, 76",
        "60000, 0, 40000, 2500"
    })
    void predictsFromTokensAhead(int prompt, long shortAhead, long longAhead, long millis) {
        mFleet.engines().forEach(e -> mFleet.set(e, shortAhead, longAhead, true));
        Placement placement = POLICY.place(request("r", prompt), mFleet, START).orElseThrow();
        assertThat(placement.predictedTimeToFirstToken().toMillis()).isEqualTo(millis);
    }

    @Test
    void choosesEngineWithShortestPrediction() {
        for (int i = 0; i < 4; i++) {
            mFleet.set(mFleet.engines().get(i), i == 2 ? 1_000 : 50_000, 0, true);
        }
        assertThat(chosen(POLICY, request("r", 1_000))).isEqualTo(mFleet.engines().get(2));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "0, false"})
    void usesOnlyAvailableEngines(int available, boolean placed) {
        for (int i = 0; i < 4; i++) {
            mFleet.set(mFleet.engines().get(i), 0, 0, i < available);
        }
        assertThat(POLICY.place(request("r", 1_000), mFleet, START).isPresent()).isEqualTo(placed);
    }

    @ParameterizedTest
    @CsvSource({"399900, true", "399901, false"})
    void rejectsPromptsThatExceedMemoryOfAllEngines(int prompt, boolean placed) {
        assertThat(POLICY.place(request("r", prompt), mFleet, START).isPresent()).isEqualTo(placed);
    }

    @Test
    void prefersEngineWithCachedPrefix() {
        InferenceRequest request = request("r", 20_000, longs(16));
        Endpoint holder = mFleet.engines().get(3);
        mFleet.prefixes().prefilled(holder.id(), request.prompt());
        assertThat(chosen(POLICY, request)).isEqualTo(holder);
        mFleet.set(holder, 100_000, 0, true);
        assertThat(chosen(POLICY, request)).isNotEqualTo(holder);
    }

    @Test
    void daemonsSendSamePrefixToSameFewEngines() {
        FakeFleet fleet = new FakeFleet(64);
        Map<Endpoint, Integer> with = spread(fleet, true);
        assertThat(with).hasSizeLessThanOrEqualTo(RendezvousTable.PREFERRED);
        assertThat(spread(fleet, false)).hasSizeGreaterThan(16);
    }

    @Test
    void daemonsWithSameStaleReportDoNotHerd() {
        FakeFleet fleet = new FakeFleet(16);
        fleet.engines().forEach(e -> fleet.set(e, 4_000, 0, true));
        Map<Endpoint, Integer> chosen = spread(fleet, false);
        assertThat(chosen.values()).allMatch(n -> n <= 16);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, 11, 15})
    void comparesAllEnginesOfSmallFleet(int idle) {
        FakeFleet fleet = new FakeFleet(16);
        fleet.engines().forEach(e -> fleet.set(e, 50_000, 0, true));
        Endpoint best = fleet.engines().get(idle);
        fleet.set(best, 0, 0, true);
        for (int number = 0; number < 64; number++) {
            Placement placement =
                    POLICY.place(request("r" + number, 1_000), fleet, START).orElseThrow();
            assertThat(placement.endpoint().endpoint()).isEqualTo(best);
        }
    }

    @ParameterizedTest
    @CsvSource({"39999, SHORT", "40001, LONG"})
    void confinesLongWork(int prompt, Lane lane) {
        Endpoint longEngine = mFleet.engines().get(1);
        mFleet.confine(ImmutableSet.of(longEngine.id()));
        mFleet.set(longEngine, 30_000, 0, true);
        Placement placement = POLICY.place(request("r", prompt), mFleet, START).orElseThrow();
        assertThat(placement.lane()).isEqualTo(lane);
        assertThat(placement.endpoint().endpoint().equals(longEngine)).isEqualTo(lane == Lane.LONG);
    }

    @Test
    void longWorkOverflowsWhenItsEnginesAreUnavailable() {
        Endpoint longEngine = mFleet.engines().get(1);
        mFleet.confine(ImmutableSet.of(longEngine.id()));
        mFleet.set(longEngine, 0, 0, false);
        assertThat(chosen(POLICY, request("r", 100_000))).isNotEqualTo(longEngine);
    }

    @Test
    void placementIsDeterministic() {
        InferenceRequest request = request("r", 1_000);
        Optional<Placement> first = POLICY.place(request, mFleet, START);
        assertThat(POLICY.place(request, mFleet, START)).isEqualTo(first);
        assertThat(first.orElseThrow().predictedTimeToFirstToken())
                .isLessThan(Duration.ofMillis(30));
    }

    private Endpoint chosen(PredictivePolicy policy, InferenceRequest request) {
        return policy.place(request, mFleet, START).orElseThrow().endpoint().endpoint();
    }

    /** Places one request of each of 64 daemons, which all see the same reports. */
    private static Map<Endpoint, Integer> spread(FakeFleet fleet, boolean affinity) {
        Map<Endpoint, Integer> chosen = new HashMap<>();
        for (int daemon = 0; daemon < 64; daemon++) {
            Placement placement =
                    new PredictivePolicy(affinity, daemon)
                            .place(request("r" + daemon, 2_000, longs(1)), fleet, START)
                            .orElseThrow();
            chosen.merge(placement.endpoint().endpoint(), 1, Integer::sum);
        }
        return chosen;
    }

    private static long[] longs(int count) {
        long[] hashes = new long[count];
        for (int i = 0; i < count; i++) {
            hashes[i] = StableHash.mix(i, 7);
        }
        return hashes;
    }
}
