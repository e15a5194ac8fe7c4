package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.stream.Collectors;

/**
 * Endpoints chosen for one attempt, and the work that it adds to each.
 *
 * @param reservations tokens of memory to reserve on some of the helpers before sending
 * @param work work that the attempt adds to each engine
 * @param prefillEndMillis predicted time until the prompt has been read; 0 for a plain service
 * @param known work that was known of the first engine when it was chosen
 * @param candidates number of endpoints that could have been chosen
 */
record AttemptPlan(
        RegisteredEndpoint endpoint,
        ImmutableList<RegisteredEndpoint> helpers,
        ImmutableMap<EndpointId, Long> reservations,
        AttemptWork work,
        long prefillEndMillis,
        EndpointWork known,
        int candidates) {
    /** Returns the ids of the helpers, comma-separated, for the log. */
    String helperNames() {
        return helpers.stream().map(h -> h.id().value()).collect(Collectors.joining(","));
    }
}
