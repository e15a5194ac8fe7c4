package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.DataCentreId;
import java.util.Comparator;
import java.util.Optional;

/**
 * Places requests on endpoints of plain services, whose requests are short and uniform: chooses the
 * lowest utilization of slots, then an endpoint in the caller's data centre.
 */
public final class PlainPlacementPolicy {
    private PlainPlacementPolicy() {}

    /**
     * Returns the endpoint for a request from the given data centre; empty if there is no
     * candidate.
     */
    public static Optional<RegisteredEndpoint> place(
            DataCentreId caller, ImmutableList<Candidate> candidates) {
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(PlainPlacementPolicy::utilization)
                                .thenComparing(c -> !c.endpoint().dataCentre().equals(caller)))
                .map(Candidate::endpoint);
    }

    private static double utilization(Candidate c) {
        return (double) c.work().calls() / Math.max(1, c.endpoint().slots());
    }
}
