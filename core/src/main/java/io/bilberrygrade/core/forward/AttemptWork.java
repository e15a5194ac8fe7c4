package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Work of one attempt on each engine, in three phases: while its prompt is prefilled, from the
 * predicted end of the prefill, and from the first event on.
 */
public record AttemptWork(
        ImmutableMap<EndpointId, EndpointWork> reading,
        ImmutableMap<EndpointId, EndpointWork> read,
        ImmutableMap<EndpointId, EndpointWork> writing) {
    /**
     * Duration of a pass of an engine with decoding streams; a prefill may end up to one pass later
     * than predicted.
     */
    public static final Duration PASS = Duration.ofMillis(50);

    /** Returns the work of a stream with the given placement. */
    public static AttemptWork of(StreamNeed need, StreamPlacement placed) {
        long partMillis = Math.round(placed.partMillis());
        int strict = need.strict() ? 1 : 0;
        long reserved = placed.reservations().values().stream().mapToLong(Long::longValue).sum();
        long tokens = need.prompt().promptTokens() - reserved;
        Map<EndpointId, EndpointWork> reading = new LinkedHashMap<>();
        Map<EndpointId, EndpointWork> read = new LinkedHashMap<>();
        Map<EndpointId, EndpointWork> writing = new LinkedHashMap<>();
        reading.put(placed.first().id(), new EndpointWork(1, partMillis, 0, strict, tokens));
        read.put(placed.first().id(), new EndpointWork(1, 0, 0, strict, tokens));
        writing.put(placed.first().id(), new EndpointWork(1, 0, 1, strict, tokens));
        for (RegisteredEndpoint helper : placed.helpers()) {
            long reservedTokens = placed.reservations().getOrDefault(helper.id(), 0L);
            reading.put(helper.id(), new EndpointWork(0, partMillis, 0, 0, reservedTokens));
            if (reservedTokens > 0) {
                read.put(helper.id(), new EndpointWork(0, 0, 0, 0, reservedTokens));
                writing.put(helper.id(), new EndpointWork(0, 0, 0, 0, reservedTokens));
            }
        }
        return new AttemptWork(
                ImmutableMap.copyOf(reading),
                ImmutableMap.copyOf(read),
                ImmutableMap.copyOf(writing));
    }

    /** Returns the work of a request to a plain service. */
    public static AttemptWork plain(RegisteredEndpoint endpoint) {
        return plain(endpoint, 0);
    }

    /** Returns the work of a request to a plain service that takes the given time. */
    public static AttemptWork plain(RegisteredEndpoint endpoint, long millis) {
        ImmutableMap<EndpointId, EndpointWork> call =
                ImmutableMap.of(endpoint.id(), new EndpointWork(1, millis, 0, 0, 0));
        return new AttemptWork(call, call, call);
    }
}
