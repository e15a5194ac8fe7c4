package io.bilberrygrade.standins.load.measure;

import io.bilberrygrade.core.request.LengthBand;
import java.util.List;
import java.util.Map;

/**
 * Result of one cell. Times are in milliseconds from the scheduled arrival. {@code deadlineMisses}
 * counts admitted requests without a complete answer by their deadline; {@code refusals} counts
 * requests that were not run, {@code refusalReasons} by reason.
 */
record CellReport(
        String policy,
        double load,
        String fault,
        boolean withLong,
        long seed,
        double seconds,
        long requests,
        long done,
        long refusals,
        Map<String, Long> refusalReasons,
        long unknown,
        Map<String, Long> unknownReasons,
        long deadlineMisses,
        long wrongTokens,
        double worthOffered,
        double worthInTime,
        double sendDelayP99,
        List<Band> bands,
        List<ClassResult> classes,
        List<TeamResult> teams) {
    /** Times to first token of the prompts of one length band. */
    record Band(String band, long requests, long answered, double p50, double p95, double p99) {}

    /**
     * One class of work: {@code insideTarget} counts admitted requests whose first token came
     * within the class's target.
     */
    record ClassResult(
            String workClass,
            long requests,
            long admitted,
            long insideTarget,
            long refusals,
            double refusedTokensShare) {
        double insideShare() {
            return admitted == 0 ? 1 : (double) insideTarget / admitted;
        }
    }

    /** One team: how many of its requests were answered inside their class's target. */
    record TeamResult(String team, long requests, long insideTarget) {}

    Band band(LengthBand band) {
        return bands.stream().filter(b -> b.band().equals(band.label())).findFirst().orElseThrow();
    }
}
