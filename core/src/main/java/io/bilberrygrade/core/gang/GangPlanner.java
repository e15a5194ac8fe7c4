package io.bilberrygrade.core.gang;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.lane.LanePlan;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans a gang for a prompt: the fewest engines whose memory suffices, all in one data centre,
 * since KV caches are transferred between them. Engines of the long lane come first, then those
 * with the most free memory.
 */
public final class GangPlanner {
    private GangPlanner() {}

    /** Returns whether the prompt exceeds the memory of every single engine. */
    public static boolean isGangNeeded(Prompt prompt, EngineFleet fleet) {
        return prompt.memoryTokens() > fleet.layout().largestMemoryTokens();
    }

    /**
     * Returns whether the engines of some data centre could hold the prompt if all their memory
     * were free.
     */
    public static boolean fits(Prompt prompt, ImmutableList<Endpoint> engines) {
        return Multimaps.index(engines, Endpoint::dataCentre).asMap().values().stream()
                .mapToLong(es -> es.stream().mapToLong(Endpoint::memoryTokens).sum())
                .anyMatch(memory -> memory >= prompt.memoryTokens());
    }

    /**
     * Returns the plan within the free memory that has the lowest predicted time to first token, or
     * empty when no data centre has enough memory.
     */
    public static Optional<GangPlan> plan(
            Prompt prompt,
            Collection<EndpointView> engines,
            LanePlan lanes,
            ImmutableSet<EndpointId> busy) {
        ImmutableListMultimap<?, EndpointView> centres =
                Multimaps.index(
                        engines.stream()
                                .filter(EndpointView::available)
                                .filter(e -> !busy.contains(e.endpoint().id()))
                                .filter(e -> e.freeTokens() > prompt.maxAnswerTokens())
                                .sorted(preferenceOrder(lanes))
                                .toList(),
                        e -> e.endpoint().dataCentre());
        return centres.asMap().values().stream()
                .map(members -> planWithin(prompt, members))
                .flatMap(Optional::stream)
                .min(Comparator.comparing(GangPlan::predictedTimeToFirstToken));
    }

    /** Returns the plan for idle engines with all memory free, for a prediction. */
    public static Optional<GangPlan> planOnIdle(
            Prompt prompt, Collection<EndpointView> engines, LanePlan lanes) {
        return plan(
                prompt,
                engines.stream().map(GangPlanner::withAllMemoryFree).toList(),
                lanes,
                ImmutableSet.of());
    }

    private static Comparator<EndpointView> preferenceOrder(LanePlan lanes) {
        return Comparator.<EndpointView, Boolean>comparing(
                        e -> !lanes.allows(e.endpoint().id(), Lane.LONG))
                .thenComparing(EndpointView::freeTokens, Comparator.reverseOrder())
                .thenComparing(e -> e.endpoint().id().value());
    }

    private static Optional<GangPlan> planWithin(Prompt prompt, Collection<EndpointView> members) {
        List<EndpointView> gang = new ArrayList<>();
        long free = 0;
        for (EndpointView member : members) {
            gang.add(member);
            free += member.freeTokens();
            if (free >= prompt.memoryTokens()) {
                return Optional.of(split(prompt, gang, free));
            }
        }
        return Optional.empty();
    }

    /** Splits the prompt in proportion to free memory, so that no single engine is filled up. */
    private static GangPlan split(Prompt prompt, List<EndpointView> gang, long free) {
        ImmutableList.Builder<GangSegment> segments = ImmutableList.builder();
        long from = 0;
        for (int i = 0; i < gang.size() - 1; i++) {
            EndpointView engine = gang.get(i);
            double part = (double) engine.freeTokens() / free * prompt.memoryTokens();
            long tokens = Math.min(engine.freeTokens(), (long) Math.ceil(part));
            long to = Math.min(prompt.tokens(), from + tokens);
            if (to > from) {
                segments.add(new GangSegment(engine, from, to, to - from));
            }
            from = to;
        }
        long rest = prompt.tokens() - from;
        EndpointView last = gang.get(gang.size() - 1);
        segments.add(new GangSegment(last, from, prompt.tokens(), rest + prompt.maxAnswerTokens()));
        return new GangPlan(last.endpoint().dataCentre(), segments.build());
    }

    private static EndpointView withAllMemoryFree(EndpointView e) {
        return new EndpointView(
                e.endpoint(),
                e.available(),
                e.backlog(),
                e.rate(),
                e.endpoint().memoryTokens(),
                e.runningRequests(),
                e.ownRequests());
    }
}
