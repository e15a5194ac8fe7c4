package io.bilberrygrade.serving.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import java.util.Optional;

/** Outcome of a call under an idempotency key, as sent between daemons. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = KeyedOutcome.Done.class, name = "done"),
    @JsonSubTypes.Type(value = KeyedOutcome.NotRun.class, name = "not-run"),
    @JsonSubTypes.Type(value = KeyedOutcome.Unknown.class, name = "unknown")
})
public sealed interface KeyedOutcome {
    /** The call ran; holds the service's complete answer. */
    record Done(int status, Optional<String> contentType, Bytes body) implements KeyedOutcome {}

    /** The call did not run and will never run under this key. */
    record NotRun(Step step, Reason reason, String detail, Optional<Long> retryAfterMillis)
            implements KeyedOutcome {}

    /** The call may have run. */
    record Unknown(Step step, Reason reason, String detail, Optional<Long> retryAfterMillis)
            implements KeyedOutcome {}
}
