package io.bilberrygrade.core.contention;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.share.MaxMinLevel;
import java.util.Map;
import java.util.Optional;

/**
 * Shares of the teams of one rank in the engine time that the rank gets, by cost rather than count.
 * The load that it answers: a team that sends far more, or far larger requests, than others of its
 * rank, and takes up what they would have used in time. The division is max-min fair: a team that
 * asks for less than the common level gets all of it, and what it leaves goes to the others. A team
 * is over its share only while another one gets less than its own, so that none is held back for
 * nothing.
 */
final class TeamShares {
    /** Excess over the level from which a team is over its share, as for shares of classes. */
    private static final double TOLERANCE = 1.05;

    /** Least number of requests from which shares can be told. */
    private static final int MIN_REQUESTS = 10;

    private TeamShares() {}

    /** Returns whether the team of a request has been admitted more than its share. */
    static boolean isOver(ServiceRequest request, RecentRequests recent) {
        Map<Optional<TeamId>, TeamCost> costs = recent.costs(request.rank());
        int requests = costs.values().stream().mapToInt(TeamCost::requests).sum();
        TeamCost own = costs.get(request.team());
        if (own == null || costs.size() < 2 || requests < MIN_REQUESTS) {
            return false;
        }
        ImmutableList<Double> demands =
                costs.values().stream()
                        .map(TeamCost::demanded)
                        .collect(ImmutableList.toImmutableList());
        double supply = costs.values().stream().mapToDouble(TeamCost::admitted).sum();
        return own.admitted() > TOLERANCE * MaxMinLevel.of(demands, supply);
    }

    /**
     * Engine time of a team's recent requests in milliseconds.
     *
     * @param demanded time of all of them
     * @param admitted time of those that were admitted
     */
    record TeamCost(int requests, double demanded, double admitted) {
        TeamCost plus(TeamCost other) {
            return new TeamCost(
                    requests + other.requests,
                    demanded + other.demanded,
                    admitted + other.admitted);
        }
    }
}
