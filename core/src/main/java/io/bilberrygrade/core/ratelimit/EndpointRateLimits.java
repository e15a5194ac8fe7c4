package io.bilberrygrade.core.ratelimit;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * The latest statement about its rate limit of each endpoint run that has stated one, and the
 * limits that follow from the state of runs. Of two limits of a run the lower one counts.
 */
public final class EndpointRateLimits {
    /** Maximum number of runs kept, more than a large fleet has endpoints. */
    static final int MAX_RUNS = 4_096;

    /**
     * Time for which an own statement is included in messages to peers, which are some tenths of it
     * apart.
     */
    private static final Duration SHARE_TIME = Duration.ofSeconds(4);

    /** Time for which the end of a limit, or the limit of an unregistered run, is kept. */
    static final Duration RETENTION = Duration.ofMinutes(1);

    /** In order of the latest statement, latest last. */
    private final Map<EndpointRun, Entry> mEntries = new LinkedHashMap<>();

    private final DerivedLimits mDerived;

    /** Creates a record of stated limits only. */
    public EndpointRateLimits() {
        this(DerivedLimits.NONE);
    }

    /** Creates a record of stated and derived limits. */
    public EndpointRateLimits(DerivedLimits derived) {
        mDerived = derived;
    }

    /** Records that an answer stated a limit; returns whether the limit in force changed. */
    public boolean recordLimit(EndpointRun run, RateLimit limit, Instant now) {
        return put(new RateLimitStatement(run, Optional.of(limit), now), true);
    }

    /**
     * Records an answer that stated no limit; returns whether a limit ended. Only the answer to a
     * request that was sent after the limit was last stated ends it, since answers may overtake
     * each other.
     */
    public boolean recordNoLimit(EndpointRun run, Instant sentAt, Instant now) {
        Entry latest = mEntries.get(run);
        if (latest == null || !latest.isLimit() || sentAt.isBefore(latest.statedAt())) {
            return false;
        }
        return put(new RateLimitStatement(run, Optional.empty(), now), true);
    }

    /**
     * Records a statement that a peer passed on, unless a later one is known; returns whether the
     * limit in force changed.
     */
    public boolean merge(RateLimitStatement statement) {
        Entry latest = mEntries.get(statement.run());
        if (latest == null
                ? statement.limit().isEmpty()
                : !statement.statedAt().isAfter(latest.statedAt())) {
            return false;
        }
        return put(statement, false);
    }

    private boolean put(RateLimitStatement statement, boolean own) {
        Entry before = mEntries.remove(statement.run());
        mEntries.put(statement.run(), new Entry(statement, own));
        if (mEntries.size() > MAX_RUNS) {
            mEntries.remove(mEntries.keySet().iterator().next());
        }
        Optional<RateLimit> old = before == null ? Optional.empty() : before.statement().limit();
        return !old.equals(statement.limit());
    }

    /** Returns whether no statements are kept and no run has a limit. */
    public boolean isEmpty() {
        return mEntries.isEmpty() && mDerived.runs().isEmpty();
    }

    /** Returns whether a run has a limit now. */
    public boolean isLimited(EndpointRun run) {
        return of(run).isPresent() || mDerived.grantRate(run).isPresent();
    }

    /** Returns the permits a second that may be granted for a run; empty without a limit. */
    public OptionalDouble grantRate(EndpointRun run) {
        return DoubleStream.concat(
                        of(run).map(RateLimitAllocator::grantRate).stream().mapToDouble(r -> r),
                        mDerived.grantRate(run).stream())
                .min();
    }

    /** Returns the limit that a run states. */
    public Optional<RateLimit> of(EndpointRun run) {
        return Optional.ofNullable(mEntries.get(run)).flatMap(e -> e.statement().limit());
    }

    /** Returns the runs with a limit in force. */
    public ImmutableList<EndpointRun> limitedRuns() {
        return Stream.concat(
                        statements(Entry::isLimit).stream().map(RateLimitStatement::run),
                        mDerived.runs().stream())
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the statements that are kept. */
    public ImmutableList<RateLimitStatement> all() {
        return statements(e -> true);
    }

    /**
     * Returns the recent statements from answers to this daemon itself. Those that peers passed on
     * aren't included: each hop adds its delay, so that a statement that went round would look
     * newer each time.
     */
    public ImmutableList<RateLimitStatement> recentOwn(Instant now) {
        Instant since = now.minus(SHARE_TIME);
        return statements(e -> e.own() && e.statedAt().isAfter(since));
    }

    private ImmutableList<RateLimitStatement> statements(Predicate<Entry> filter) {
        return mEntries.values().stream()
                .filter(filter)
                .map(Entry::statement)
                .collect(ImmutableList.toImmutableList());
    }

    /** Removes old statements of runs that are no longer registered, and old ends of limits. */
    public void removeOld(Predicate<EndpointRun> registered, Instant now) {
        Instant since = now.minus(RETENTION);
        mEntries.values()
                .removeIf(
                        e ->
                                e.statedAt().isBefore(since)
                                        && !(e.isLimit() && registered.test(e.statement().run())));
    }

    private record Entry(RateLimitStatement statement, boolean own) {
        boolean isLimit() {
            return statement.limit().isPresent();
        }

        Instant statedAt() {
            return statement.statedAt();
        }
    }
}
