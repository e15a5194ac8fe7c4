package io.bilberrygrade.standins.load.pattern;

/** Placement policies of requests to plain services to compare. */
enum ServicePolicy {
    /** The product's policy without learned costs. */
    FEWEST_CALLS,

    /** Compares as few endpoints as with learned costs, but by their slots in use. */
    FEWEST_OF_TWO,

    /** The product's policy with learned costs. */
    LEARNED,

    /**
     * Knows the cost of each request and all requests at all endpoints without delay, and chooses
     * the earliest completion.
     */
    KNOWN_COST
}
