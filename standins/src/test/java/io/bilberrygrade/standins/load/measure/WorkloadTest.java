package io.bilberrygrade.standins.load.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class WorkloadTest {
    private static final double CAPACITY = 640_000;
    private static final Duration LONG_RUN = Duration.ofMinutes(30);

    @Test
    void arrivalsSameSettingsAreTheSame() {
        assertThat(arrivals(3, 0.8)).isEqualTo(arrivals(3, 0.8));
    }

    @Test
    void arrivalsOtherSeedDiffer() {
        assertThat(arrivals(3, 0.8)).isNotEqualTo(arrivals(4, 0.8));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1.5})
    void arrivalsOfferTheLoad(double load) {
        double tokens = arrivals(3, load).stream().mapToLong(Arrival::tokens).sum();
        assertThat(tokens / LONG_RUN.toSeconds() / CAPACITY).isCloseTo(load, within(0.05 * load));
    }

    @Test
    void arrivalsOneInFiftyIsLong() {
        ImmutableList<Arrival> arrivals = arrivals(3, 1);
        double part =
                (double) arrivals.stream().filter(a -> a.tokens() > Workload.LONG_TOKENS).count()
                        / arrivals.size();
        assertThat(part).isCloseTo(0.02, within(0.002));
        assertThat(arrivals).allMatch(a -> a.tokens() >= 1_000 && a.tokens() <= 1_000_000);
    }

    @Test
    void promptSharesItsPrefixOnly() {
        PromptPool prompts = new PromptPool();
        ImmutableList<Arrival> sharing =
                arrivals(3, 1).stream()
                        .filter(a -> a.prefixTokens() == Workload.MAX_PREFIX_TOKENS)
                        .filter(a -> a.prefix() == 0)
                        .limit(2)
                        .collect(ImmutableList.toImmutableList());
        String first = prompts.prompt(sharing.get(0));
        String second = prompts.prompt(sharing.get(1));
        int prefix = Workload.MAX_PREFIX_TOKENS * 4;
        assertThat(first.substring(0, prefix)).isEqualTo(second.substring(0, prefix));
        assertThat(first.substring(prefix, prefix + 16))
                .isNotEqualTo(second.substring(prefix, prefix + 16));
        assertThat(first).hasSize(sharing.get(0).tokens() * 4);
    }

    private static ImmutableList<Arrival> arrivals(long seed, double load) {
        return Workload.arrivals(new WorkloadSettings(seed, load, LONG_RUN, CAPACITY));
    }
}
