package io.bilberrygrade.serving.service;

import io.bilberrygrade.core.config.Endpoint;
import io.smallrye.mutiny.Uni;

/**
 * Client of plain services. Failures are {@link io.bilberrygrade.serving.error.CallException}s
 * whose delivery states whether the call may have run.
 */
public interface PlainService {
    /** Sends a call, at most once. */
    Uni<ServiceAnswer> call(Endpoint endpoint, ServiceCall call);
}
