package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;

/**
 * Plain service whose requests differ widely in cost.
 *
 * @param utilization part of the endpoints' slots that the load needs before the jump
 * @param slowSpeed speed of the first endpoint; the others have 1
 * @param jump factor by which the cost of the first route changes after half of the time
 */
record ServiceProfile(
        String name,
        int instances,
        int endpoints,
        double utilization,
        double slowSpeed,
        double jump,
        ImmutableList<RouteCost> routes) {
    static final int SLOTS = 8;

    private static final RouteCost SHORT = new RouteCost("short", 0.9, 20, 0.3);
    private static final RouteCost LONG = new RouteCost("long", 0.1, 800, 0.8);
    private static final ImmutableList<RouteCost> MIXED = ImmutableList.of(SHORT, LONG);
    private static final ImmutableList<RouteCost> UNIFORM =
            ImmutableList.of(new RouteCost("uniform", 1, 100, 0.3));

    /** Requests of which one in ten takes forty times as long as the others. */
    static ServiceProfile mixed(int instances, int endpoints) {
        return new ServiceProfile("mixed", instances, endpoints, 0.7, 1, 1, MIXED);
    }

    /** The same near the capacity. */
    static ServiceProfile high(int instances, int endpoints) {
        return new ServiceProfile("high", instances, endpoints, 0.85, 1, 1, MIXED);
    }

    /** The same with an endpoint of a third of the speed. */
    static ServiceProfile slow(int instances, int endpoints) {
        return new ServiceProfile("slow", instances, endpoints, 0.7, 1.0 / 3, 1, MIXED);
    }

    /** The same with short requests whose cost becomes fourfold. */
    static ServiceProfile jump(int instances, int endpoints) {
        return new ServiceProfile("jump", instances, endpoints, 0.5, 1, 4, MIXED);
    }

    /** Requests that cost alike, for which there is nothing to gain. */
    static ServiceProfile uniform(int instances, int endpoints) {
        return new ServiceProfile("uniform", instances, endpoints, 0.7, 1, 1, UNIFORM);
    }

    /** Returns the arrivals per millisecond. */
    double arrivalsPerMilli() {
        double mean = routes.stream().mapToDouble(r -> r.share() * r.meanMillis()).sum();
        return utilization * SLOTS * (endpoints - 1 + slowSpeed) / mean;
    }

    /**
     * Route with its share of the requests and the log-normal distribution of their cost.
     *
     * @param logDeviation standard deviation of the logarithm of the cost
     */
    record RouteCost(String name, double share, double meanMillis, double logDeviation) {}
}
