package io.bilberrygrade.core.leaving;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Endpoints that said themselves that they are leaving, and those that are published as leaving. A
 * mark fades unless it is seen again, so that an endpoint that has come back is used again.
 */
public final class LeavingMarks {
    private static final Duration LIFETIME = Duration.ofSeconds(30);
    private static final Duration NEWS = Duration.ofSeconds(10);

    private final Map<EndpointId, Instant> mSeenAt = new HashMap<>();
    private ImmutableSet<EndpointId> mPublished = ImmutableSet.of();

    /** Creates an empty set of marks. */
    public LeavingMarks() {}

    /** Takes over what was seen at some time; returns whether the endpoint wasn't marked before. */
    public boolean mark(EndpointId endpoint, Instant seenAt, Instant now) {
        mSeenAt.values().removeIf(seen -> faded(seen, now));
        if (faded(seenAt, now)) {
            return false;
        }
        boolean fresh = !mSeenAt.containsKey(endpoint);
        mSeenAt.merge(endpoint, seenAt, (a, b) -> a.isAfter(b) ? a : b);
        return fresh;
    }

    /** Replaces the endpoints that are published as leaving. */
    public void published(ImmutableSet<EndpointId> endpoints) {
        mPublished = endpoints;
    }

    /** Returns whether an endpoint is to get no new work. */
    public boolean leaving(EndpointId endpoint, Instant now) {
        Instant seen = mSeenAt.get(endpoint);
        return mPublished.contains(endpoint) || (seen != null && !faded(seen, now));
    }

    /** Returns the newest marks, which peers may not have yet. */
    public ImmutableList<Mark> newest(int max, Instant now) {
        return mSeenAt.entrySet().stream()
                .map(e -> new Mark(e.getKey(), Duration.between(e.getValue(), now)))
                .filter(m -> m.age().compareTo(NEWS) < 0)
                .sorted(Comparator.comparing(Mark::age))
                .limit(max)
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean faded(Instant seen, Instant now) {
        return !now.isBefore(seen.plus(LIFETIME));
    }

    /** An endpoint that is leaving and the time since that was seen at it. */
    public record Mark(EndpointId endpoint, Duration age) {}
}
