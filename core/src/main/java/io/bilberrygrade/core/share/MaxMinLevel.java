package io.bilberrygrade.core.share;

import com.google.common.collect.ImmutableList;

/**
 * Max-min fair division: each demand is granted up to a common level, so that a large demand
 * doesn't reduce what the others get below that level.
 */
public final class MaxMinLevel {
    private MaxMinLevel() {}

    /**
     * Returns the level at which the granted parts of the demands add up to the supply, or positive
     * infinity when all demands fit.
     */
    public static double of(ImmutableList<Double> demands, double supply) {
        double remainingSupply = supply;
        int remainingDemands = demands.size();
        for (double demand : demands.stream().sorted().toList()) {
            double level = remainingSupply / remainingDemands;
            if (demand > level) {
                return level;
            }
            remainingSupply -= demand;
            remainingDemands--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
