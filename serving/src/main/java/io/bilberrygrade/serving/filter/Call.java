package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.serving.http.CompletionBody;

/** What a caller asks for. */
public sealed interface Call {
    /** A model's answer to a prompt; idempotent, so that it may be run again. */
    record Completion(CompletionBody body) implements Call {}

    /** An operation of a plain service, which may not be repeated. */
    record Service(ServiceId service, String operation) implements Call {}
}
