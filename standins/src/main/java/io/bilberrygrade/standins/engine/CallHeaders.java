package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.EndpointHeaders;
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
        long maxTokens = Math.max(number(EndpointHeaders.MAX_TOKENS, defaultValue), 1);
        return spec(now, number(EndpointHeaders.PROMPT_TOKENS, estimatedTokens), (int) maxTokens);
    }

    JobSpec segment(Instant now) {
        long from = number(EndpointHeaders.FROM_TOKEN, 0);
        long to = number(EndpointHeaders.TO_TOKEN, 0);
        if (to <= from) {
            throw new IllegalArgumentException("segment is empty");
        }
        return spec(now, to - from, 0);
    }

    private JobSpec spec(Instant now, long promptTokens, int maxTokens) {
        List<String> hashes =
                maxTokens == 0
                        ? List.of()
                        : text(EndpointHeaders.PREFIX_HASHES)
                                .map(h -> List.of(h.split(",", -1)))
                                .orElse(List.of());
        return new JobSpec(
                text(EndpointHeaders.REQUEST_ID).orElse(""),
                (int) number(EndpointHeaders.ATTEMPT, 0),
                number(EndpointHeaders.INCARNATION, 0),
                (int) number(EndpointHeaders.PRIORITY, 0),
                promptTokens,
                maxTokens,
                (int) number(EndpointHeaders.RESUME_OFFSET, 0),
                now.plusMillis(number(EndpointHeaders.DEADLINE_MILLIS, NO_DEADLINE_MILLIS)),
                hashes,
                text(EndpointHeaders.RESERVATION_ID),
                0);
    }
}
