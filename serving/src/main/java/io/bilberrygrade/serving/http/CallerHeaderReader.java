package io.bilberrygrade.serving.http;

import io.bilberrygrade.serving.filter.CallerHeaders;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/** Parses the documented request headers. */
final class CallerHeaderReader {
    static final String WORK_CLASS = "X-Work-Class";
    static final String DEADLINE = "X-Deadline";
    static final String TIMEOUT_MILLIS = "X-Timeout-Ms";
    static final String WORTH = "X-Worth";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final String BEARER = "Bearer ";
    private static final double DEFAULT_WORTH = 1;
    private static final double MAX_WORTH = 1_000_000;

    private CallerHeaderReader() {}

    /** Parses the headers; throws {@link IllegalArgumentException} on a malformed value. */
    static CallerHeaders read(MultiMap headers) {
        return new CallerHeaders(
                credential(headers),
                get(headers, WORK_CLASS),
                get(headers, DEADLINE).map(CallerHeaderReader::instant),
                get(headers, TIMEOUT_MILLIS).map(t -> Duration.ofMillis(Long.parseLong(t))),
                get(headers, WORTH).map(CallerHeaderReader::worth).orElse(DEFAULT_WORTH),
                get(headers, IDEMPOTENCY_KEY));
    }

    /** Returns the bearer credential of the caller. */
    static Optional<String> credential(MultiMap headers) {
        return get(headers, "Authorization")
                .filter(a -> a.startsWith(BEARER))
                .map(a -> a.substring(BEARER.length()));
    }

    private static Optional<String> get(MultiMap headers, String name) {
        return Optional.ofNullable(headers.get(name));
    }

    private static Instant instant(String text) {
        try {
            return Instant.parse(text);
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException(DEADLINE + " is not an instant: " + text, e);
        }
    }

    private static double worth(String text) {
        double worth = Double.parseDouble(text);
        if (!(worth >= 0 && worth <= MAX_WORTH)) {
            throw new IllegalArgumentException(WORTH + " is outside 0 to " + MAX_WORTH);
        }
        return worth;
    }
}
