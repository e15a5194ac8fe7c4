package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.LengthBand;
import io.bilberrygrade.standins.load.CallerOutcome;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** Computes the report of one cell from its samples. */
final class CellStatistics {
    private static final Duration MAX_RECORDED_TIME = Duration.ofMinutes(10);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1e3;

    private final CellSettings mSettings;
    private final ImmutableList<Sample> mSamples;

    CellStatistics(CellSettings settings, ImmutableList<Sample> samples) {
        mSettings = settings;
        mSamples = samples;
    }

    CellReport report() {
        return new CellReport(
                mSettings.policy(),
                mSettings.workload().load(),
                mSettings.fault(),
                mSettings.withLong(),
                mSettings.workload().seed(),
                mSettings.workload().duration().toMillis() / 1e3,
                mSamples.size(),
                count(s -> hasOutcome(s, CallerOutcome.DONE)),
                count(s -> hasOutcome(s, CallerOutcome.NOT_RUN)),
                reasons(CallerOutcome.NOT_RUN),
                count(s -> hasOutcome(s, CallerOutcome.UNKNOWN)),
                reasons(CallerOutcome.UNKNOWN),
                count(s -> isAdmitted(s) && !(hasOutcome(s, CallerOutcome.DONE) && s.isInTime())),
                count(s -> !s.result().isCorrect()),
                worth(s -> true),
                worth(
                        s ->
                                hasOutcome(s, CallerOutcome.DONE)
                                        && s.result().isCorrect()
                                        && s.isInTime()),
                sendDelayP99(),
                Arrays.stream(LengthBand.values())
                        .map(this::band)
                        .collect(ImmutableList.toImmutableList()),
                mSettings.targets().keySet().stream()
                        .map(this::classResult)
                        .collect(ImmutableList.toImmutableList()),
                Workload.teams().stream()
                        .map(this::teamResult)
                        .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableMap<String, Long> reasons(CallerOutcome outcome) {
        return ImmutableMap.copyOf(
                mSamples.stream()
                        .filter(s -> hasOutcome(s, outcome))
                        .collect(
                                Collectors.groupingBy(
                                        s -> s.result().reason(), Collectors.counting())));
    }

    private double worth(Predicate<Sample> condition) {
        return mSamples.stream().filter(condition).mapToDouble(s -> s.arrival().worth()).sum();
    }

    private double sendDelayP99() {
        Histogram delays = histogram();
        mSamples.forEach(s -> delays.recordValue(micros(s.sendDelay())));
        return delays.getValueAtPercentile(99) / MICROS_PER_MILLI;
    }

    private CellReport.Band band(LengthBand band) {
        ImmutableList<Sample> samples = filtered(s -> LengthBand.of(s.arrival().tokens()) == band);
        Histogram times = histogram();
        samples.stream()
                .flatMap(s -> s.timeToFirstToken().stream())
                .forEach(t -> times.recordValue(Math.min(micros(t), micros(MAX_RECORDED_TIME))));
        return new CellReport.Band(
                band.label(),
                samples.size(),
                times.getTotalCount(),
                millis(times, 50),
                millis(times, 95),
                millis(times, 99));
    }

    private CellReport.ClassResult classResult(WorkClassId workClass) {
        ImmutableList<Sample> samples = filtered(s -> s.arrival().workClass().equals(workClass));
        double refused = tokens(samples.stream().filter(s -> !isAdmitted(s)));
        double offered = Math.max(tokens(samples.stream()), 1);
        return new CellReport.ClassResult(
                workClass.value(),
                samples.size(),
                samples.stream().filter(CellStatistics::isAdmitted).count(),
                samples.stream().filter(this::isInsideTarget).count(),
                samples.stream().filter(s -> !isAdmitted(s)).count(),
                refused / offered);
    }

    private CellReport.TeamResult teamResult(TeamId team) {
        ImmutableList<Sample> samples = filtered(s -> s.arrival().team().equals(team));
        return new CellReport.TeamResult(
                team.value(),
                samples.size(),
                samples.stream().filter(this::isInsideTarget).count());
    }

    private boolean isInsideTarget(Sample sample) {
        Duration target = mSettings.targets().get(sample.arrival().workClass());
        return isAdmitted(sample)
                && sample.timeToFirstToken().filter(t -> t.compareTo(target) <= 0).isPresent();
    }

    private ImmutableList<Sample> filtered(Predicate<Sample> condition) {
        return mSamples.stream().filter(condition).collect(ImmutableList.toImmutableList());
    }

    private long count(Predicate<Sample> condition) {
        return mSamples.stream().filter(condition).count();
    }

    private static double tokens(Stream<Sample> samples) {
        return samples.mapToLong(s -> s.arrival().tokens()).sum();
    }

    private static boolean isAdmitted(Sample sample) {
        return !hasOutcome(sample, CallerOutcome.NOT_RUN);
    }

    private static boolean hasOutcome(Sample sample, CallerOutcome outcome) {
        return sample.result().outcome() == outcome;
    }

    private static Histogram histogram() {
        return new Histogram(micros(MAX_RECORDED_TIME), SIGNIFICANT_DIGITS);
    }

    private static double millis(Histogram times, double percentile) {
        return times.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static long micros(Duration d) {
        return d.toNanos() / 1_000;
    }
}
