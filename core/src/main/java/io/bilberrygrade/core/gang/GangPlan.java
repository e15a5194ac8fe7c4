package io.bilberrygrade.core.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.Lane;
import java.time.Duration;

/** Segments of a prompt in order; the engine of the last one generates the answer. */
public record GangPlan(DataCentreId dataCentre, ImmutableList<GangSegment> segments) {
    /** Returns the engines of the gang. */
    public ImmutableSet<EndpointId> engines() {
        return segments.stream()
                .map(s -> s.engine().endpoint().id())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the last segment, whose engine generates. */
    public GangSegment last() {
        return Iterables.getLast(segments);
    }

    /** Returns the predicted time to first token: a segment waits for all before it. */
    public Duration predictedTimeToFirstToken() {
        Duration ready = Duration.ZERO;
        for (GangSegment s : segments) {
            Duration free = s.engine().rate().timeFor(s.engine().backlog().ahead(Lane.LONG));
            Duration start = ready.compareTo(free) > 0 ? ready : free;
            ready = start.plus(s.engine().rate().timeFor((double) s.tokens()));
        }
        return ready;
    }
}
