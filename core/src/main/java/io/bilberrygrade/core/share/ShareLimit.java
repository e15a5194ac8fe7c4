package io.bilberrygrade.core.share;

/**
 * Limit of a class: whether it is held to its grant, and the grant in tokens per second. The limit
 * applies once the demand clearly exceeds the grant and is lifted once the demand is clearly below
 * it. A smaller grant takes effect at once; a larger one is approached gradually. Both keep a class
 * near its grant from oscillating.
 */
public record ShareLimit(boolean limited, double tokensPerSecond) {
    /** No limit, before any demand is known. */
    public static final ShareLimit NONE = new ShareLimit(false, 0);

    private static final double ENTER_FACTOR = 1.05;
    private static final double LEAVE_FACTOR = 0.9;
    private static final double RISE_FRACTION = 0.2;

    /** Returns the limit after the next measurement of demand and grant, in tokens per second. */
    public ShareLimit next(double demand, double grant) {
        boolean first = tokensPerSecond == 0;
        double smoothed =
                first || grant < tokensPerSecond
                        ? grant
                        : tokensPerSecond + RISE_FRACTION * (grant - tokensPerSecond);
        double factor = limited ? LEAVE_FACTOR : ENTER_FACTOR;
        return new ShareLimit(demand > factor * smoothed, smoothed);
    }
}
