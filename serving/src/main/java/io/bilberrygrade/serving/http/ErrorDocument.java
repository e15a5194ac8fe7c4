package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.base.Ascii;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import java.time.Duration;
import java.util.Optional;

/** JSON form of every answer whose outcome isn't {@code done}. */
public record ErrorDocument(ErrorBody error) {
    /** The error: {@code outcome} is {@code not-run} or {@code unknown}. */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record ErrorBody(
            @JsonProperty("request_id") String requestId,
            String outcome,
            String reason,
            String step,
            String message,
            Optional<String> peer,
            @JsonProperty("retry_after_ms") Optional<Long> retryAfterMillis) {}

    /** Creates the document of a request that did not run. */
    static ErrorDocument of(String requestId, Outcome.NotRun o) {
        return of(requestId, "not-run", o.reason(), o.step(), o.detail(), o.peer(), o.retryAfter());
    }

    /** Creates the document of an unknown outcome. */
    static ErrorDocument of(String requestId, Outcome.Unknown o) {
        return of(requestId, "unknown", o.reason(), o.step(), o.detail(), o.peer(), o.retryAfter());
    }

    private static ErrorDocument of(
            String requestId,
            String outcome,
            Reason reason,
            Step step,
            String message,
            Optional<String> peer,
            Optional<Duration> retryAfter) {
        return new ErrorDocument(
                new ErrorBody(
                        requestId,
                        outcome,
                        hyphenated(reason),
                        hyphenated(step),
                        message,
                        peer,
                        retryAfter.map(Duration::toMillis)));
    }

    private static String hyphenated(Enum<?> value) {
        return Ascii.toLowerCase(value.name()).replace('_', '-');
    }
}
