package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.util.Optional;

/**
 * One attempt of a request at an endpoint, as it is sent.
 *
 * @param timeLeft time after which the endpoint stops working on it
 * @param resumeAfter last event that the caller has; the answer continues after it
 * @param helpers engines that read a part of the prompt
 * @param urgency priority in the engine's queue, 0 first
 */
public record AttemptRequest(
        RegisteredEndpoint endpoint,
        Optional<TeamId> team,
        Duration timeLeft,
        Optional<Long> resumeAfter,
        ImmutableList<Helper> helpers,
        int urgency) {
    /**
     * Engine that reads a part of the prompt.
     *
     * @param reservation id of the memory reserved on it for that part
     */
    public record Helper(Address address, Optional<String> reservation) {}
}
