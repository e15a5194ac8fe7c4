package io.bilberrygrade.core.ratelimit;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Permits of this daemon to send requests to rate-limited endpoints, and the demand for more. A
 * permit is good for one request and expires soon, so that unused ones don't add up over the fleet.
 */
public final class RateLimitPermits {
    /** Time until a permit is expected while no aggregator can hand out any. */
    private static final Duration UNKNOWN_WAIT = Duration.ofSeconds(1);

    /** Maximum number of permits asked for at once. */
    private static final int MAX_WANTED = 1_024;

    private final Map<EndpointRun, Stock> mStocks = new HashMap<>();
    private long mUsed;

    /** Returns whether a request may be sent to a run with a limit in force. */
    public boolean isAvailable(EndpointRun run, Instant now) {
        Stock stock = mStocks.get(run);
        return stock != null && stock.held(now) > 0;
    }

    /** Uses up a permit, if there is one. */
    public void use(EndpointRun run, Instant now) {
        Stock stock = mStocks.get(run);
        if (stock != null && stock.held(now) > 0) {
            stock.mExpiries.removeFirst();
            stock.mUsed++;
            mUsed++;
        }
    }

    /** Records that a request could have been sent to a run, with or without other endpoints. */
    public void recordDemand(EndpointRun run, boolean starved) {
        Stock stock = mStocks.computeIfAbsent(run, r -> new Stock());
        stock.mDemanded = true;
        stock.mStarved += starved ? 1 : 0;
    }

    /** Returns the permits to ask for, and starts to count demand anew. */
    public ImmutableMap<EndpointRun, PermitRequest> takeRequests(Instant now) {
        ImmutableMap.Builder<EndpointRun, PermitRequest> requests = ImmutableMap.builder();
        mStocks.forEach(
                (run, stock) -> {
                    int wanted = stock.takeWanted(now);
                    if (wanted > 0) {
                        requests.put(run, new PermitRequest(wanted, stock.mStarvedBefore));
                    }
                });
        return requests.buildOrThrow();
    }

    /** Adds granted permits, which were asked for at the given time. */
    public void add(EndpointRun run, PermitGrant grant, Instant askedAt, Instant now) {
        Stock stock = mStocks.computeIfAbsent(run, r -> new Stock());
        Instant expiry = askedAt.plus(FollowerShares.PERMIT_LIFETIME);
        for (int i = 0; i < grant.permits(); i++) {
            stock.mExpiries.addLast(expiry);
        }
        stock.mNextAt = now.plus(grant.nextIn().orElse(UNKNOWN_WAIT));
    }

    /** Returns whether the fleet has room for a request as far as this daemon knows. */
    public boolean mayHaveRoom(EndpointRun run, Instant now) {
        Stock stock = mStocks.get(run);
        return stock == null || !stock.mNextAt.isAfter(now);
    }

    /** Returns when the fleet is expected to have room for a request to a run. */
    public Instant roomAt(EndpointRun run, Instant now) {
        return mayHaveRoom(run, now) ? now : mStocks.get(run).mNextAt;
    }

    /** Removes the state of runs that have no limit in force. */
    public void retain(EndpointRateLimits limits) {
        mStocks.keySet().removeIf(run -> !limits.isLimited(run));
    }

    /** Returns the number of permits used since the start. */
    public long used() {
        return mUsed;
    }

    private static final class Stock {
        private final Deque<Instant> mExpiries = new ArrayDeque<>();
        private Instant mNextAt = Instant.MIN;
        private boolean mDemanded;
        private boolean mStarvedBefore;
        private int mStarved;
        private int mUsed;

        int held(Instant now) {
            mExpiries.removeIf(t -> !t.isAfter(now));
            return mExpiries.size();
        }

        int takeWanted(Instant now) {
            int demand = Math.max(mDemanded ? 1 + mUsed : 0, mStarved + mUsed);
            mStarvedBefore = mStarved > 0;
            mDemanded = false;
            mStarved = 0;
            mUsed = 0;
            return Math.min(MAX_WANTED, demand) - held(now);
        }
    }
}
