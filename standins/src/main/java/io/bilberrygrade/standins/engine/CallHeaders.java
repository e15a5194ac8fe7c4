package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.Headers;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Parses the headers of a request; absent numbers take their default. */
final class CallHeaders {
    private static final long NO_DEADLINE_MILLIS = 3_600_000;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 16;

    private final HttpServerRequest mRequest;

    CallHeaders(HttpServerRequest request) {
        mRequest = request;
    }

    long number(String name, long defaultValue) {
        String value = mRequest.getHeader(name);
        return value == null ? defaultValue : Long.parseLong(value.strip());
    }

    Optional<String> text(String name) {
        return Optional.ofNullable(mRequest.getHeader(name)).filter(v -> !v.isBlank());
    }

    JobSpec completion(Instant now, PromptBody body, int promptBytes) {
        long estimatedTokens = (promptBytes + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN;
        int defaultValue = body.maxTokens() > 0 ? body.maxTokens() : DEFAULT_MAX_TOKENS;
        long maxTokens = Math.max(number(Headers.MAX_TOKENS, defaultValue), 1);
        return spec(now, number(Headers.PROMPT_TOKENS, estimatedTokens), (int) maxTokens);
    }

    JobSpec segment(Instant now) {
        long from = number(Headers.FROM_TOKEN, 0);
        long to = number(Headers.TO_TOKEN, 0);
        if (to <= from) {
            throw new IllegalArgumentException("segment is empty");
        }
        return spec(now, to - from, 0);
    }

    private JobSpec spec(Instant now, long promptTokens, int maxTokens) {
        List<String> hashes =
                maxTokens == 0
                        ? List.of()
                        : text(Headers.PREFIX_HASHES)
                                .map(h -> List.of(h.split(",", -1)))
                                .orElse(List.of());
        return new JobSpec(
                text(Headers.REQUEST_ID).orElse(""),
                (int) number(Headers.ATTEMPT, 0),
                number(Headers.INCARNATION, 0),
                (int) number(Headers.PRIORITY, 0),
                promptTokens,
                maxTokens,
                (int) number(Headers.RESUME_OFFSET, 0),
                now.plusMillis(number(Headers.DEADLINE_MILLIS, NO_DEADLINE_MILLIS)),
                hashes,
                text(Headers.RESERVATION_ID),
                0);
    }
}
