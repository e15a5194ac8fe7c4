package io.bilberrygrade.core.request;

import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;

/**
 * Inference request, reduced to the attributes that decisions depend on. {@code worth} is stated by
 * the caller.
 */
public record InferenceRequest(
        RequestId id,
        TeamId team,
        WorkClass workClass,
        ModelId model,
        Prompt prompt,
        Instant arrival,
        Instant deadline,
        double worth) {

    /** Returns the time that is left until the deadline; negative once it has passed. */
    public Duration remaining(Instant now) {
        return Duration.between(now, deadline);
    }
}
