package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class StreamPlacementPolicyTest {
    private static final EngineCost COST =
            new EngineCost(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048);

    private static Candidate candidate(int number, EndpointWork work) {
        return new Candidate(
                new RegisteredEndpoint(
                        new EndpointId("e" + number),
                        1,
                        new ServiceId("s"),
                        new Address("10.0.0." + (number + 1), 80),
                        new DataCentreId("a"),
                        11,
                        false),
                work);
    }

    private static ImmutableList<Candidate> idle(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> candidate(i, EndpointWork.NONE))
                .collect(ImmutableList.toImmutableList());
    }

    private static StreamPlacement placeStrict(List<Candidate> candidates) {
        return place(new StreamNeed(new PromptShape(5_000, 100), true, millis(300)), candidates);
    }

    private static StreamPlacement placeLong(long tokens, List<Candidate> candidates) {
        return place(
                new StreamNeed(new PromptShape(tokens, 100), false, millis(3_000)), candidates);
    }

    private static StreamPlacement place(StreamNeed need, List<Candidate> candidates) {
        return StreamPlacementPolicy.place(need, COST, ImmutableList.copyOf(candidates))
                .orElseThrow();
    }

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void strictStreamIsPrefilledByOneEngine() {
        assertThat(placeStrict(idle(4)).helpers()).isEmpty();
    }

    @Test
    void packsStrictStreamsOntoFewestEngines() {
        Candidate few = candidate(0, new EndpointWork(2, 0, 2, 2, 10_000));
        Candidate more = candidate(1, new EndpointWork(5, 0, 5, 5, 25_000));
        Candidate none = candidate(2, EndpointWork.NONE);
        assertThat(placeStrict(List.of(none, more, few)).first()).isEqualTo(few.endpoint());
        assertThat(placeStrict(List.of(few, more, none)).first()).isEqualTo(few.endpoint());
    }

    @Test
    void daemonsWithSameViewDoNotAllChooseSameEngine() {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 54; i++) {
            int strictStreams = i < 20 ? 4 : 0;
            candidates.add(
                    candidate(
                            i,
                            new EndpointWork(strictStreams, 0, strictStreams, strictStreams, 9)));
        }
        Random random = new Random(1);
        Map<Address, Integer> chosen = new HashMap<>();
        for (int daemon = 0; daemon < 30; daemon++) {
            Collections.shuffle(candidates, random);
            chosen.merge(placeStrict(candidates).first().address(), 1, Integer::sum);
        }
        assertThat(chosen.values()).allMatch(n -> n <= 11 - 4);
        assertThat(chosen).hasSizeGreaterThan(5);
    }

    @Test
    void strictStreamsOverflowToOtherEnginesAtCapacity() {
        Candidate filled = candidate(0, new EndpointWork(8, 0, 8, 8, 40_000));
        Candidate none = candidate(1, EndpointWork.NONE);
        assertThat(placeStrict(List.of(filled, none)).first()).isEqualTo(none.endpoint());
    }

    @Test
    void strictStreamAvoidsEngineThatPrefillsLongPrompt() {
        Candidate reading = candidate(0, new EndpointWork(3, 300, 2, 2, 0));
        Candidate free = candidate(1, EndpointWork.NONE);
        assertThat(placeStrict(List.of(reading, free)).first()).isEqualTo(free.endpoint());
    }

    @Test
    void strictStreamGoesToEngineWithLeastQueuedPrefill() {
        Candidate reading = candidate(0, new EndpointWork(4, 50, 3, 4, 0));
        Candidate writing = candidate(1, new EndpointWork(6, 0, 6, 6, 0));
        assertThat(placeStrict(List.of(reading, writing)).first()).isEqualTo(writing.endpoint());
        assertThat(placeStrict(List.of(writing, reading)).first()).isEqualTo(writing.endpoint());
    }

    @Test
    void predictedPrefillIncludesQueuedPrefillOfItsEngines() {
        Candidate first = candidate(0, new EndpointWork(1, 100, 0, 0, 0));
        Candidate second = candidate(1, new EndpointWork(1, 200, 0, 0, 0));
        StreamPlacement placed = placeLong(120_000, List.of(first, second));
        assertThat(placed.waitMillis()).isEqualTo(200);
        assertThat(placed.prefillEndMillis()).isEqualTo(200 + COST.readMillis(120_000) / 2);
    }

    @Test
    void predictedPrefillWithoutQueueIsOwnPrefillTime() {
        assertThat(placeStrict(idle(4)).prefillEndMillis()).isEqualTo(COST.readMillis(5_000));
    }

    @Test
    void longPromptIsPrefilledByAllEnginesWithoutStrictStreams() {
        StreamPlacement placed = placeLong(210_000, idle(16));
        assertThat(placed.helpers()).hasSize(15).doesNotContain(placed.first());
        Candidate withStrict = candidate(20, new EndpointWork(4, 0, 4, 4, 20_000));
        List<Candidate> mixed = new ArrayList<>(idle(6));
        mixed.add(withStrict);
        StreamPlacement mixedPlacement = placeLong(210_000, mixed);
        assertThat(mixedPlacement.helpers()).hasSize(5).doesNotContain(withStrict.endpoint());
    }

    @Test
    void longPromptUsesEnginesWithFewestStrictStreamsIfNeededForGoal() {
        List<Candidate> withStrict = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            withStrict.add(candidate(i, new EndpointWork(i + 1, 0, i + 1, i + 1, 5_000)));
        }
        StreamPlacement placed = placeLong(210_000, withStrict);
        assertThat(placed.helpers()).hasSize(1);
        assertThat(List.of(placed.first(), placed.helpers().get(0)))
                .containsExactlyInAnyOrder(
                        withStrict.get(0).endpoint(), withStrict.get(1).endpoint());
    }

    @Test
    void partsOnEnginesWithStrictStreamsStayWithinGapIfPossible() {
        List<Candidate> withStrict = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            withStrict.add(candidate(i, new EndpointWork(4, 0, 4, 4, 20_000)));
        }
        StreamPlacement placed = placeLong(45_000, withStrict);
        assertThat(placed.partMillis()).isLessThanOrEqualTo(90);
    }

    @Test
    void answerIsDecodedOnEngineWithFreeMemory() {
        Candidate filled = candidate(0, new EndpointWork(1, 0, 1, 0, 400_000));
        Candidate free = candidate(1, EndpointWork.NONE);
        assertThat(placeLong(210_000, List.of(filled, free)).first()).isEqualTo(free.endpoint());
    }

    @Test
    void returnsEmptyWithoutEngines() {
        StreamNeed need = new StreamNeed(new PromptShape(1, 1), true, millis(1));
        assertThat(StreamPlacementPolicy.place(need, COST, ImmutableList.of())).isEmpty();
    }

    @Test
    void predictedTimesFollowPublishedCosts() {
        assertThat(COST.readMillis(210_000)).isBetween(2_700.0, 3_000.0);
        assertThat(COST.passMillis(7, 40_000)).isBetween(45.0, 55.0);
        assertThat(COST.passMillis(0, 0)).isEqualTo(0.925);
    }
}
