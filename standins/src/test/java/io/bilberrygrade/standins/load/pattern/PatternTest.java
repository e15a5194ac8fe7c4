package io.bilberrygrade.standins.load.pattern;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Replays the load patterns that the placement policy answers, against the same arrivals. */
final class PatternTest {
    private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L, 3L, 4L, 5L, 6L);

    private static PatternResult play(LoadPattern pattern, PatternPolicy policy) {
        return play(pattern, policy, FleetSheet.small());
    }

    private static PatternResult play(LoadPattern pattern, PatternPolicy policy, FleetSheet fleet) {
        return PatternMain.play(pattern, policy, fleet, SEEDS);
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"ROUND_ROBIN", "LEAST_OUTSTANDING", "ALL_READ"})
    void swingingDemandIsServedBetterThanByBaselines(PatternPolicy baseline) {
        double full = play(LoadPattern.swings(), PatternPolicy.FULL).worth();
        assertThat(full).isGreaterThan(play(LoadPattern.swings(), baseline).worth());
    }

    @Test
    void questionsBesideLongPromptsAreServedBetterThanWhereAllEnginesRead() {
        PatternResult full = play(LoadPattern.steady(), PatternPolicy.FULL);
        PatternResult all = play(LoadPattern.steady(), PatternPolicy.ALL_READ);
        assertThat(full.worth("question")).isGreaterThan(all.worth("question"));
        assertThat(full.firstP95("question")).isLessThan(all.firstP95("question"));
    }

    @Test
    void turningLongPromptsAwayServesBurstsBetter() {
        for (FleetSheet fleet : ImmutableList.of(FleetSheet.small(), FleetSheet.grown())) {
            PatternResult full = play(LoadPattern.bursts(), PatternPolicy.FULL, fleet);
            PatternResult all = play(LoadPattern.bursts(), PatternPolicy.NO_REFUSALS, fleet);
            assertThat(full.worth()).isGreaterThan(all.worth());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"PACKED", "LEAST_OUTSTANDING"})
    void manyDaemonsServeQuestionsBetterIfTheyDoNotAllChooseTheSame(PatternPolicy other) {
        for (LoadPattern pattern : ImmutableList.of(LoadPattern.steady(), LoadPattern.bursts())) {
            PatternResult full = play(pattern, PatternPolicy.FULL, FleetSheet.grown());
            PatternResult baseline = play(pattern, other, FleetSheet.grown());
            assertThat(full.worth("question")).isGreaterThan(baseline.worth("question"));
            assertThat(full.worth()).isGreaterThan(baseline.worth());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"ROUND_ROBIN", "LEAST_OUTSTANDING", "ALL_READ", "PACKED", "NO_REFUSALS"})
    void crashAtPeakIsBorneBetterThanByOthers(PatternPolicy other) {
        for (FleetSheet fleet : ImmutableList.of(FleetSheet.small(), FleetSheet.grown())) {
            double full = play(LoadPattern.crash(), PatternPolicy.FULL, fleet).worth();
            assertThat(full).isGreaterThan(play(LoadPattern.crash(), other, fleet).worth());
        }
    }

    @Test
    void peakOfLongPromptsIsServedBetterIfWhatWaitsInEnginesIsCounted() {
        for (FleetSheet fleet : ImmutableList.of(FleetSheet.desk(), FleetSheet.deskGrown())) {
            double full = play(LoadPattern.highSwings(), PatternPolicy.FULL, fleet).worth();
            double without =
                    play(LoadPattern.highSwings(), PatternPolicy.WITHOUT_WAIT, fleet).worth();
            assertThat(full).isGreaterThan(without);
        }
    }

    @Test
    void whatCrashedEnginesHadIsServedByOthers() {
        PatternRow row =
                play(LoadPattern.crash(), PatternPolicy.NO_REFUSALS).row("small", "crash", "any");
        assertThat(row.classes()).hasSize(3).allMatch(c -> c.asked() > 0 && c.unserved() == 0);
    }

    @Test
    void rowSaysNeverWhereRequestsHaveNoEvent() {
        PatternRow.ClassRow unserved =
                new PatternRow.ClassRow(
                        "audit", 0, 2, 0, 2, Optional.of(7L), Optional.empty(), Optional.empty());
        PatternRow row = new PatternRow("small", "crash", "full", 0, ImmutableList.of(unserved));
        assertThat(row.text()).endsWith("audit 0.000 7/never");
    }

    @Test
    void plotIsWrittenOfPoliciesThatPlayedAllPatterns(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("worth.svg");
        WorthPlot.write(
                List.of(
                        new PatternRow("small", "steady", "full", 0.9, ImmutableList.of()),
                        new PatternRow("small", "crash", "full", 0.8, ImmutableList.of()),
                        new PatternRow("small", "steady", "packed", 0.7, ImmutableList.of())),
                file);
        assertThat(Files.readString(file)).contains("<svg");
    }

    @Test
    void sameSeedGivesTheSameResult() {
        assertThat(play(LoadPattern.swings(), PatternPolicy.FULL).worth())
                .isEqualTo(play(LoadPattern.swings(), PatternPolicy.FULL).worth());
    }
}
