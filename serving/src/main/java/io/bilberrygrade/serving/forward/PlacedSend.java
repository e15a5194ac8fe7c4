package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.SendingWork;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.stream.Collectors;

/**
 * Where a request is sent.
 *
 * @param reservations tokens of memory to reserve on some helpers first
 * @param work what the sending is for each engine
 * @param readByMillis time until the prompt must have been read; 0 for a plain service
 * @param known what was known of the first engine's work when it was chosen
 */
record PlacedSend(
        RegisteredEndpoint endpoint,
        ImmutableList<RegisteredEndpoint> helpers,
        ImmutableMap<EndpointId, Long> reservations,
        SendingWork work,
        long readByMillis,
        EndpointWork known,
        int candidates) {
    /** Returns the names of the helpers, for the log. */
    String helperNames() {
        return helpers.stream().map(h -> h.id().value()).collect(Collectors.joining(","));
    }
}
