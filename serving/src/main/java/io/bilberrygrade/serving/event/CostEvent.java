package io.bilberrygrade.serving.event;

/** Events of the learned cost of requests. Ages and durations are in milliseconds. */
public sealed interface CostEvent extends Event {
    /**
     * The learned time of a kind of requests differs widely from the one before. For streams, times
     * are ratios to the published figures.
     */
    @EventInfo(number = 7060, level = EventLevel.INFO)
    record CostLearned(String route, String band, double mean, double p90, double meanBefore)
            implements CostEvent {}

    /**
     * A request took far longer than predicted. {@code work} is what was known of its endpoint when
     * it was chosen.
     */
    @EventInfo(number = 7061, level = EventLevel.INFO)
    record PredictionMissed(
            String route,
            String band,
            String endpoint,
            long predictedMillis,
            long observedMillis,
            boolean learned,
            double speed,
            String work,
            long sumsAgoMillis)
            implements CostEvent {}
}
