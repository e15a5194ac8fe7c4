package io.bilberrygrade.core.cost;

import java.util.Optional;

/**
 * What was predicted of one attempt when its endpoint was chosen.
 *
 * @param publishedMillis own time by the published figures; 1 if there are none
 * @param learned distribution of the own time on an endpoint of median speed; empty if it isn't
 *     known
 * @param speed speed of the endpoint
 */
public record CostPrediction(
        CostKey key, double publishedMillis, Optional<CostDistribution> learned, double speed) {
    /** Returns whether there is anything to compare an observed time with. */
    public boolean isKnown() {
        return learned.isPresent() || key.band().isPresent();
    }

    /** Returns the mean time on an endpoint of median speed; published if nothing is learned. */
    public double ownMillis() {
        return learned.map(CostDistribution::mean).orElse(publishedMillis);
    }
}
