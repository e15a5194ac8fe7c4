package io.bilberrygrade.serving.service;

import io.bilberrygrade.core.config.Endpoint;
import io.smallrye.mutiny.Uni;

/**
 * Access to plain services. Failures are {@link io.bilberrygrade.serving.error.CallException}s
 * whose delivery says whether the call can have run.
 */
public interface PlainService {
    /** Makes one call. It is sent at most once. */
    Uni<ServiceAnswer> call(Endpoint endpoint, ServiceCall call);
}
