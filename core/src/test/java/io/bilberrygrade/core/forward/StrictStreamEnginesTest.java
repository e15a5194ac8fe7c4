package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class StrictStreamEnginesTest {
    private static final EngineCost COST =
            new EngineCost(10, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048);

    private static Candidate candidate(int number, int strictStreams, long readMillis) {
        return new Candidate(
                new RegisteredEndpoint(
                        new EndpointId("e" + (char) ('a' + number)),
                        1,
                        new ServiceId("s"),
                        new Address("10.0.0." + (number + 1), 80),
                        new DataCentreId("a"),
                        10,
                        false),
                new EndpointWork(strictStreams, readMillis, strictStreams, strictStreams, 0));
    }

    private static List<Candidate> candidates(int strictStreams) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            candidates.add(candidate(i, strictStreams / 20 + (i < strictStreams % 20 ? 1 : 0), 0));
        }
        return candidates;
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "6, 1", "7, 2", "69, 10", "118, 17", "200, 17"})
    void selectsEnoughEnginesForStrictStreamsAndOneMore(int strictStreams, int engines) {
        assertThat(StrictStreamEngines.of(COST, candidates(strictStreams))).hasSize(engines);
    }

    // Guards against a sum of streams that overflows, with which no engine can be selected.
    @ParameterizedTest
    @CsvSource({"2147483647", "1"})
    void anyNumberOfStreamsSelectsEngines(int others) {
        List<Candidate> candidates =
                List.of(candidate(0, Integer.MAX_VALUE, 0), candidate(1, others, 0));
        assertThat(StrictStreamEngines.of(COST, candidates)).hasSize(2);
    }

    @Test
    void selectionIsIndependentOfCandidateOrder() {
        List<Candidate> candidates = candidates(40);
        List<Candidate> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, new Random(1));
        assertThat(StrictStreamEngines.of(COST, shuffled))
                .containsExactlyInAnyOrderElementsOf(StrictStreamEngines.of(COST, candidates));
    }

    @Test
    void excludesEnginesThatPrefillLongPrompts() {
        List<Candidate> candidates = List.of(candidate(0, 0, 300), candidate(1, 0, 60));
        assertThat(StrictStreamEngines.of(COST, candidates)).containsExactly(new EndpointId("eb"));
    }
}
