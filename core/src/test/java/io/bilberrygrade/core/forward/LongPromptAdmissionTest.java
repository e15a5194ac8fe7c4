package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class LongPromptAdmissionTest {
    private static final EngineCost COST =
            new EngineCost(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048);
    private static final EndpointWork STRICT = new EndpointWork(3, 0, 3, 3, 15_000);
    private static final EndpointWork PREFILLING = new EndpointWork(0, 400, 0, 0, 0);

    private static ImmutableList<Candidate> engines(int count, EndpointWork work) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new Candidate(
                                        new RegisteredEndpoint(
                                                new EndpointId("e" + i),
                                                1,
                                                new ServiceId("s"),
                                                new Address("10.0.0.1", i + 1),
                                                new DataCentreId("dc"),
                                                11,
                                                false),
                                        work))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean rejects(long tokens, ImmutableList<Candidate> engines) {
        StreamNeed need =
                new StreamNeed(new PromptShape(tokens, 100), false, Duration.ofSeconds(3));
        return LongPromptAdmission.rejects(need, COST, engines);
    }

    @Test
    void admitsLongPromptThatMeetsItsGoal() {
        assertThat(rejects(500_000, engines(16, EndpointWork.NONE))).isFalse();
        assertThat(rejects(700_000, engines(16, EndpointWork.NONE))).isFalse();
    }

    @Test
    void rejectsLongPromptWhileOthersArePrefilled() {
        assertThat(rejects(700_000, engines(16, PREFILLING))).isTrue();
        assertThat(rejects(500_000, engines(4, EndpointWork.NONE))).isTrue();
        assertThat(rejects(500_000, engines(16, STRICT))).isTrue();
    }

    @Test
    void rejectsLongPromptEvenIfItFitsOneEngine() {
        assertThat(rejects(300_000, engines(16, PREFILLING))).isFalse();
        assertThat(rejects(300_000, engines(3, PREFILLING))).isTrue();
        assertThat(rejects(300_000, engines(1, STRICT))).isTrue();
    }

    @Test
    void neverRejectsPromptThatOneEnginePrefillsWithinItsGoal() {
        assertThat(rejects(200_000, engines(3, PREFILLING))).isFalse();
        assertThat(rejects(200_000, engines(1, STRICT))).isFalse();
    }
}
