package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.serving.http.CompletionBody;

/** Call that a caller makes. */
public sealed interface Call {
    /** Completion of a prompt by a model; idempotent, so that it may be retried. */
    record Completion(CompletionBody body) implements Call {}

    /** Operation of a plain service, which must not be repeated. */
    record Service(ServiceId service, String operation) implements Call {}
}
