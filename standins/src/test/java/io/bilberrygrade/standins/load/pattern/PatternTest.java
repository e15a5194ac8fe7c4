package io.bilberrygrade.standins.load.pattern;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the placement policy with other policies under load patterns on equal arrivals. */
final class PatternTest {
    private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L, 3L, 4L, 5L, 6L);

    private static PatternResult simulate(LoadPattern pattern, PatternPolicy policy) {
        return simulate(pattern, policy, FleetProfile.small());
    }

    private static PatternResult simulate(
            LoadPattern pattern, PatternPolicy policy, FleetProfile fleet) {
        return PatternMain.simulate(pattern, policy, fleet, SEEDS);
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"ROUND_ROBIN", "LEAST_OUTSTANDING", "ALL_READ"})
    void fullPolicyEarnsMoreThanBaselinesOnAlternatingDemand(PatternPolicy baseline) {
        double full = simulate(LoadPattern.swings(), PatternPolicy.FULL).worth();
        assertThat(full).isGreaterThan(simulate(LoadPattern.swings(), baseline).worth());
    }

    @Test
    void fullPolicyServesQuestionsBetterThanPrefillOnAllEngines() {
        PatternResult full = simulate(LoadPattern.steady(), PatternPolicy.FULL);
        PatternResult all = simulate(LoadPattern.steady(), PatternPolicy.ALL_READ);
        assertThat(full.worth("question")).isGreaterThan(all.worth("question"));
        assertThat(full.firstEventP95Millis("question"))
                .isLessThan(all.firstEventP95Millis("question"));
    }

    @Test
    void refusingLongPromptsEarnsMoreInBursts() {
        for (FleetProfile fleet : ImmutableList.of(FleetProfile.small(), FleetProfile.grown())) {
            PatternResult full = simulate(LoadPattern.bursts(), PatternPolicy.FULL, fleet);
            PatternResult all = simulate(LoadPattern.bursts(), PatternPolicy.NO_REFUSALS, fleet);
            assertThat(full.worth()).isGreaterThan(all.worth());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"PACKED", "LEAST_OUTSTANDING"})
    void manyDaemonsServeQuestionsBetterWithoutHerding(PatternPolicy other) {
        for (LoadPattern pattern : ImmutableList.of(LoadPattern.steady(), LoadPattern.bursts())) {
            PatternResult full = simulate(pattern, PatternPolicy.FULL, FleetProfile.grown());
            PatternResult baseline = simulate(pattern, other, FleetProfile.grown());
            assertThat(full.worth("question")).isGreaterThan(baseline.worth("question"));
            assertThat(full.worth()).isGreaterThan(baseline.worth());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = PatternPolicy.class,
            names = {"ROUND_ROBIN", "LEAST_OUTSTANDING", "ALL_READ", "PACKED", "NO_REFUSALS"})
    void fullPolicyEarnsMoreThanOthersWhenEnginesCrashAtPeak(PatternPolicy other) {
        for (FleetProfile fleet : ImmutableList.of(FleetProfile.small(), FleetProfile.grown())) {
            double full = simulate(LoadPattern.crash(), PatternPolicy.FULL, fleet).worth();
            assertThat(full).isGreaterThan(simulate(LoadPattern.crash(), other, fleet).worth());
        }
    }

    @Test
    void countingQueuedPrefillEarnsMoreAtPeakOfLongPrompts() {
        for (FleetProfile fleet : ImmutableList.of(FleetProfile.desk(), FleetProfile.deskGrown())) {
            double full = simulate(LoadPattern.highSwings(), PatternPolicy.FULL, fleet).worth();
            double without =
                    simulate(LoadPattern.highSwings(), PatternPolicy.WITHOUT_WAIT, fleet).worth();
            assertThat(full).isGreaterThan(without);
        }
    }

    @Test
    void usingRateLimitedEnginesUpToTheirLimitsEarnsMoreThanLeavingThemOut() {
        for (FleetProfile fleet :
                ImmutableList.of(FleetProfile.small(), FleetProfile.grown(), FleetProfile.desk())) {
            double full = simulate(LoadPattern.limits(), PatternPolicy.FULL, fleet).worth();
            double without =
                    simulate(LoadPattern.limits(), PatternPolicy.WITHOUT_LIMITED, fleet).worth();
            assertThat(full).isGreaterThan(without);
        }
    }

    /** Guards against a fleet in the tool that no longer shows the cost of old sums. */
    @Test
    void oldSumsMakeMoreQuestionsLateThanRecentOnes() {
        PatternResult old =
                simulate(LoadPattern.mixSwings(), PatternPolicy.FULL, FleetProfile.uneven());
        PatternResult recent =
                simulate(LoadPattern.mixSwings(), PatternPolicy.FULL, FleetProfile.unevenFresh());
        assertThat(old.worth("question")).isLessThan(recent.worth("question"));
    }

    /**
     * Guards against short prompts that are late at swings because they follow old sums. The
     * decision was made on seeds 1 to 130; 201 to 206 are held out.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 201})
    void regardingTheAgeOfOldSumsMakesFewerQuestionsLate(long firstSeed) {
        ImmutableList<Long> seeds =
                LongStream.range(firstSeed, firstSeed + 6)
                        .boxed()
                        .collect(ImmutableList.toImmutableList());
        PatternResult with = swing(PatternPolicy.FULL, seeds);
        PatternResult without = swing(PatternPolicy.WITHOUT_AGE, seeds);
        assertThat(with.late("question")).isLessThan(without.late("question"));
        assertThat(with.worth()).isGreaterThan(without.worth());
    }

    private static PatternResult swing(PatternPolicy policy, ImmutableList<Long> seeds) {
        return PatternMain.simulate(LoadPattern.mixSwings(), policy, FleetProfile.uneven(), seeds);
    }

    /** Guards against decisions that change where the sums are recent or the fleet isn't uneven. */
    @Test
    void decisionsOfOtherFleetsDoNotDependOnTheAgeOfTheSums() {
        for (FleetProfile fleet :
                ImmutableList.of(
                        FleetProfile.small(),
                        FleetProfile.grown(),
                        FleetProfile.large(),
                        FleetProfile.desk(),
                        FleetProfile.deskGrown(),
                        FleetProfile.unevenFresh())) {
            assertThat(firstEvents(PatternPolicy.FULL, fleet))
                    .isEqualTo(firstEvents(PatternPolicy.WITHOUT_AGE, fleet));
        }
    }

    private static ImmutableList<Double> firstEvents(PatternPolicy policy, FleetProfile fleet) {
        return new PatternRun(policy, fleet, 1)
                .simulate(LoadPattern.mixSwings()).stream()
                        .map(PatternRequest::firstEventMillis)
                        .collect(ImmutableList.toImmutableList());
    }

    /** Guards against a boundary whose move drops long prompts that were placed before it. */
    @Test
    void placedPromptsEndAcrossSwings() {
        assertThat(swing(PatternPolicy.FULL, SEEDS).requests())
                .filteredOn(PatternRequest::isPlaced)
                .allMatch(PatternRequest::hasEnded);
    }

    @Test
    void learnedCostsEarnMoreWhenManyDaemonsMeetBurst() {
        FleetProfile fleet = FleetProfile.grown();
        double learned = simulate(LoadPattern.bursts(), PatternPolicy.LEARNED_COST, fleet).worth();
        assertThat(learned)
                .isGreaterThan(simulate(LoadPattern.bursts(), PatternPolicy.FULL, fleet).worth());
    }

    @Test
    void requestsOfCrashedEnginesAreServedByOthers() {
        PatternRow row =
                simulate(LoadPattern.crash(), PatternPolicy.NO_REFUSALS)
                        .row("small", "crash", "any");
        assertThat(row.classes()).hasSize(3).allMatch(c -> c.asked() > 0 && c.unserved() == 0);
    }

    @Test
    void rowShowsNeverForPercentilesWithoutEvent() {
        PatternRow.ClassRow unserved =
                new PatternRow.ClassRow(
                        "audit", 0, 2, 0, 2, Optional.of(7L), Optional.empty(), Optional.empty());
        PatternRow row = new PatternRow("small", "crash", "full", 0, ImmutableList.of(unserved));
        assertThat(row.text()).endsWith("audit 0.000 7/never");
    }

    @Test
    void plotIsWrittenIfOnePolicyLacksPatterns(@TempDir Path folder) throws IOException {
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
        assertThat(simulate(LoadPattern.swings(), PatternPolicy.FULL).worth())
                .isEqualTo(simulate(LoadPattern.swings(), PatternPolicy.FULL).worth());
    }
}
