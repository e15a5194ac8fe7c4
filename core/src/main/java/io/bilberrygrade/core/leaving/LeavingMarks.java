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
 * Endpoints that have announced that they are leaving, and those that are published as leaving. A
 * mark expires unless it is renewed, so that an endpoint that has come back is used again.
 */
public final class LeavingMarks {
    private static final Duration MARK_LIFETIME = Duration.ofSeconds(30);
    private static final Duration MAX_GOSSIP_AGE = Duration.ofSeconds(10);

    private final Map<EndpointId, Instant> mSeenAt = new HashMap<>();
    private ImmutableSet<EndpointId> mPublished = ImmutableSet.of();

    /** Creates an empty set of marks. */
    public LeavingMarks() {}

    /**
     * Records that an endpoint was seen leaving at {@code seenAt}; returns whether it wasn't marked
     * before.
     */
    public boolean mark(EndpointId endpoint, Instant seenAt, Instant now) {
        mSeenAt.values().removeIf(seen -> isExpired(seen, now));
        if (isExpired(seenAt, now)) {
            return false;
        }
        boolean isNew = !mSeenAt.containsKey(endpoint);
        mSeenAt.merge(endpoint, seenAt, (a, b) -> a.isAfter(b) ? a : b);
        return isNew;
    }

    /** Replaces the endpoints that are published as leaving. */
    public void setPublished(ImmutableSet<EndpointId> endpoints) {
        mPublished = endpoints;
    }

    /** Returns whether an endpoint is to get no new work. */
    public boolean isLeaving(EndpointId endpoint, Instant now) {
        Instant seen = mSeenAt.get(endpoint);
        return mPublished.contains(endpoint) || (seen != null && !isExpired(seen, now));
    }

    /** Returns at most {@code max} of the newest marks, which peers may not have yet. */
    public ImmutableList<Mark> newest(int max, Instant now) {
        return mSeenAt.entrySet().stream()
                .map(e -> new Mark(e.getKey(), Duration.between(e.getValue(), now)))
                .filter(m -> m.age().compareTo(MAX_GOSSIP_AGE) < 0)
                .sorted(Comparator.comparing(Mark::age))
                .limit(max)
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean isExpired(Instant seen, Instant now) {
        return !now.isBefore(seen.plus(MARK_LIFETIME));
    }

    /** Endpoint that is leaving, with the time since this was seen. */
    public record Mark(EndpointId endpoint, Duration age) {}
}
