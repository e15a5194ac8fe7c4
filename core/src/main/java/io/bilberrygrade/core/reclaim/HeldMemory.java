package io.bilberrygrade.core.reclaim;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.util.Optional;

/**
 * Memory that an engine holds for a request: the instance and incarnation that own the request, and
 * the time left until its deadline, negative once it has passed. The instance is empty when the
 * request's identifier doesn't name it.
 */
public record HeldMemory(
        Optional<InstanceId> instance, Incarnation incarnation, Duration remaining) {
    private static final char SEPARATOR = '-';

    /**
     * Parses the owner from a request identifier of the form {@code instance-incarnation-number},
     * which daemons generate.
     */
    public static HeldMemory of(String requestId, long incarnation, Duration remaining) {
        int end = requestId.lastIndexOf(SEPARATOR + Long.toString(incarnation) + SEPARATOR);
        Optional<InstanceId> instance =
                end > 0
                        ? Optional.of(new InstanceId(requestId.substring(0, end)))
                        : Optional.empty();
        return new HeldMemory(instance, new Incarnation(incarnation), remaining);
    }
}
