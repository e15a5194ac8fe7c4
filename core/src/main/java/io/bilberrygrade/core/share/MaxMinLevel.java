package io.bilberrygrade.core.share;

import com.google.common.collect.ImmutableList;

/**
 * Max-min fair division: everyone gets what it asks for up to a common level, so that the demand of
 * one doesn't lessen what the others get below that level.
 */
public final class MaxMinLevel {
    private MaxMinLevel() {}

    /**
     * Returns the level at which the parts that demands get add up to the supply, or positive
     * infinity when all of them fit.
     */
    public static double of(ImmutableList<Double> demands, double supply) {
        double left = supply;
        int others = demands.size();
        for (double demand : demands.stream().sorted().toList()) {
            double level = left / others;
            if (demand > level) {
                return level;
            }
            left -= demand;
            others--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
