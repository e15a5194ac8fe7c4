package io.bilberrygrade.core.contention;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The latest requests for a service at this instance, as a sample of those at all instances. The
 * sample is bounded by count, and by age so that it follows the load.
 */
final class RecentRequests {
    private static final int MAX_REQUESTS = 256;

    /** Several periods of a swing of 10 s, so that the sample isn't that of one half of it. */
    private static final Duration MAX_AGE = Duration.ofSeconds(60);

    private final Deque<Entry> mEntries = new ArrayDeque<>();

    void add(ServiceRequest request, boolean admitted, Instant now) {
        mEntries.addLast(new Entry(request, admitted, now));
        removeOld(now);
    }

    private void removeOld(Instant now) {
        while (mEntries.size() > MAX_REQUESTS
                || (!mEntries.isEmpty() && mEntries.getFirst().at().plus(MAX_AGE).isBefore(now))) {
            mEntries.removeFirst();
        }
    }

    /** Returns the mean time for which an admitted request uses a slot; 0 if it isn't known. */
    double meanSlotMillis() {
        return admitted()
                .mapToDouble(e -> e.request().slotMillis())
                .filter(m -> m > 0)
                .average()
                .orElse(0);
    }

    /** Returns the median goal, in milliseconds, of a rank; the given request is one of them. */
    double medianGoalMillis(ServiceRequest request) {
        long[] goals =
                Stream.concat(
                                Stream.of(request),
                                mEntries.stream()
                                        .map(Entry::request)
                                        .filter(r -> r.rank().equals(request.rank())))
                        .mapToLong(r -> r.goal().toMillis())
                        .sorted()
                        .toArray();
        return goals[goals.length / 2];
    }

    boolean hasHigherRank(Rank rank) {
        return mEntries.stream().anyMatch(e -> e.request().rank().compareTo(rank) < 0);
    }

    /** Returns the lengths of the requests of a kind in ascending order. */
    long[] lengths(String kind) {
        return mEntries.stream()
                .map(Entry::request)
                .filter(r -> r.kind().equals(kind))
                .mapToLong(ServiceRequest::length)
                .sorted()
                .toArray();
    }

    /**
     * Returns the fraction of the selected requests that was admitted; empty if there were none.
     */
    OptionalDouble admittedFraction(Predicate<ServiceRequest> selected) {
        return mEntries.stream()
                .filter(e -> selected.test(e.request()))
                .mapToDouble(e -> e.admitted() ? 1 : 0)
                .average();
    }

    /** Returns the engine time that the requests of a rank asked for and got, by team. */
    Map<Optional<TeamId>, TeamShares.TeamCost> costs(Rank rank) {
        Map<Optional<TeamId>, TeamShares.TeamCost> costs = new HashMap<>();
        for (Entry e : mEntries) {
            if (e.request().rank().equals(rank)) {
                double cost = e.request().slotMillis();
                costs.merge(
                        e.request().team(),
                        new TeamShares.TeamCost(1, cost, e.admitted() ? cost : 0),
                        TeamShares.TeamCost::plus);
            }
        }
        return costs;
    }

    /** Returns the number of admitted requests of each rank and team, such as {@code 0/t}. */
    Map<String, Integer> admittedByRankAndTeam() {
        Map<String, Integer> counts = new TreeMap<>();
        admitted()
                .forEach(
                        e ->
                                counts.merge(
                                        e.request().rank().level()
                                                + "/"
                                                + e.request()
                                                        .team()
                                                        .map(t -> t.value())
                                                        .orElse("none"),
                                        1,
                                        Integer::sum));
        return counts;
    }

    private Stream<Entry> admitted() {
        return mEntries.stream().filter(Entry::admitted);
    }

    private record Entry(ServiceRequest request, boolean admitted, Instant at) {}
}
