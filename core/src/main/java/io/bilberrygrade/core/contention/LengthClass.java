package io.bilberrygrade.core.contention;

/** Class of a request by its length among the recent ones of its kind. */
enum LengthClass {
    LARGEST_TENTH,
    NEXT_FIFTH,
    REST;

    private static final int MIN_LENGTHS = 10;
    private static final double TENTH_FROM = 0.9;
    private static final double FIFTH_FROM = 0.7;

    /** Returns the class of a length among the given ones, which are sorted; REST if too few. */
    static LengthClass of(long length, long[] sorted) {
        if (sorted.length < MIN_LENGTHS) {
            return REST;
        }
        if (length > sorted[(int) Math.ceil(TENTH_FROM * sorted.length) - 1]) {
            return LARGEST_TENTH;
        }
        return length > sorted[(int) Math.ceil(FIFTH_FROM * sorted.length) - 1] ? NEXT_FIFTH : REST;
    }
}
