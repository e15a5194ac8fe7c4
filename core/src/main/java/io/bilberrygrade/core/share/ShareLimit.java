package io.bilberrygrade.core.share;

/**
 * Whether a class is held to its grant, and the grant in tokens a second. A class is limited only
 * once it asks for clearly more than its grant and is let go only once it asks for clearly less. A
 * smaller grant holds at once; a larger one is taken up little by little. Both keep a class that is
 * near its grant from swinging between the two.
 */
public record ShareLimit(boolean limited, double tokensPerSecond) {
    /** No limit, before anything is known. */
    public static final ShareLimit NONE = new ShareLimit(false, 0);

    private static final double ENTER_FACTOR = 1.05;
    private static final double LEAVE_FACTOR = 0.9;
    private static final double RISE_PART = 0.2;

    /** Returns the limit after the next look at demand and grant, in tokens a second. */
    public ShareLimit next(double demand, double grant) {
        boolean first = tokensPerSecond == 0;
        double smoothed =
                first || grant < tokensPerSecond
                        ? grant
                        : tokensPerSecond + RISE_PART * (grant - tokensPerSecond);
        double factor = limited ? LEAVE_FACTOR : ENTER_FACTOR;
        return new ShareLimit(demand > factor * smoothed, smoothed);
    }
}
