package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Endpoints chosen for one attempt, and the work that it adds to each.
 *
 * @param reservations tokens of memory to reserve on some of the helpers before sending
 * @param work work that the attempt adds to each engine
 * @param prefillEndMillis predicted time until the prompt has been read; 0 for a plain service
 * @param known work that was known of the first engine when it was chosen
 * @param candidates number of endpoints that could have been chosen
 * @param cost predicted cost, if costs are learned in this deployment
 */
record AttemptPlan(
        RegisteredEndpoint endpoint,
        ImmutableList<RegisteredEndpoint> helpers,
        ImmutableMap<EndpointId, Long> reservations,
        AttemptWork work,
        long prefillEndMillis,
        EndpointWork known,
        int candidates,
        Optional<AttemptCost> cost) {
    /** Returns the endpoint or a helper that is in an evacuated data centre. */
    Optional<RegisteredEndpoint> findEvacuated(EndpointDirectory directory) {
        return Stream.concat(Stream.of(endpoint), helpers.stream())
                .filter(directory::isEvacuated)
                .findFirst();
    }

    /** Returns the ids of the helpers, comma-separated, for the log. */
    String helperNames() {
        return helpers.stream().map(h -> h.id().value()).collect(Collectors.joining(","));
    }

    /** Returns the helpers with the ids of the memory that was reserved on them. */
    ImmutableList<AttemptRequest.Helper> helpers(ImmutableList<MemoryReservation> memory) {
        return helpers.stream()
                .map(h -> new AttemptRequest.Helper(h.address(), reservationIdOn(h, memory)))
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<String> reservationIdOn(
            RegisteredEndpoint engine, ImmutableList<MemoryReservation> memory) {
        return memory.stream()
                .filter(r -> r.engine().equals(engine))
                .map(MemoryReservation::id)
                .findFirst();
    }

    /** Returns the endpoint that an answer names as the cause of a failure, or the first one. */
    EndpointId faultyEndpoint(AnswerHead head) {
        return head.faulty()
                .flatMap(a -> helpers.stream().filter(h -> h.address().equals(a)).findFirst())
                .map(RegisteredEndpoint::id)
                .orElse(endpoint.id());
    }
}
