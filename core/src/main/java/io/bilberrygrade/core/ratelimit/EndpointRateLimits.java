package io.bilberrygrade.core.ratelimit;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The latest statement about its rate limit of each endpoint run that has stated one. */
public final class EndpointRateLimits {
    /** Maximum number of runs kept, more than a large fleet has endpoints. */
    static final int MAX_RUNS = 4_096;

    /** In order of the latest statement, latest last. */
    private final Map<EndpointRun, RateLimitStatement> mStatements = new LinkedHashMap<>();

    /** Records that an answer stated a limit; returns whether the limit in force changed. */
    public boolean recordLimit(EndpointRun run, RateLimit limit, Instant now) {
        return put(new RateLimitStatement(run, Optional.of(limit), now));
    }

    /**
     * Records an answer that stated no limit; returns whether a limit ended. Only the answer to a
     * request that was sent after the limit was last stated ends it, since answers may overtake
     * each other.
     */
    public boolean recordNoLimit(EndpointRun run, Instant sentAt, Instant now) {
        RateLimitStatement latest = mStatements.get(run);
        if (latest == null || latest.limit().isEmpty() || sentAt.isBefore(latest.statedAt())) {
            return false;
        }
        return put(new RateLimitStatement(run, Optional.empty(), now));
    }

    private boolean put(RateLimitStatement statement) {
        RateLimitStatement before = mStatements.remove(statement.run());
        mStatements.put(statement.run(), statement);
        if (mStatements.size() > MAX_RUNS) {
            mStatements.remove(mStatements.keySet().iterator().next());
        }
        Optional<RateLimit> old = before == null ? Optional.empty() : before.limit();
        return !old.equals(statement.limit());
    }

    /** Returns the limit in force of a run. */
    public Optional<RateLimit> of(EndpointRun run) {
        return Optional.ofNullable(mStatements.get(run)).flatMap(RateLimitStatement::limit);
    }

    /** Returns the runs with a limit in force. */
    public ImmutableList<EndpointRun> limitedRuns() {
        return mStatements.values().stream()
                .filter(s -> s.limit().isPresent())
                .map(RateLimitStatement::run)
                .collect(ImmutableList.toImmutableList());
    }
}
