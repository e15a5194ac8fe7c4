package io.bilberrygrade.serving.forward;

import io.smallrye.mutiny.Uni;

/** Source of permits for rate-limited endpoints. */
@FunctionalInterface
interface PermitSource {
    /** Asks for the permits that are in demand; completes once there is an answer or none comes. */
    Uni<Void> request();
}
