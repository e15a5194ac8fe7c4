package io.bilberrygrade.core.room;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which runs of endpoints are cold.
 *
 * <p>Addresses the load of endpoints that come back by the dozen after an evacuation, into a burst:
 * an endpoint without work looks like the best choice to every instance, and crashes at a rate that
 * a warm one wouldn't notice. A run counts as cold whenever that can't be excluded.
 */
public final class ColdRuns {
    /** Maximum number of runs kept, more than a large fleet has endpoints. */
    static final int MAX_RUNS = 4_096;

    /** Time for which an own statement is included in messages to peers. */
    private static final Duration SHARE_TIME = Duration.ofSeconds(4);

    private final Map<EndpointRun, Statement> mStatements = new LinkedHashMap<>();

    /**
     * Records for how long a run stays cold, as an answer states. Only the answer to a request that
     * was sent after the latest statement makes the time shorter, since answers may overtake each
     * other.
     */
    public void recordAnswer(EndpointRun run, Duration left, Instant sentAt, Instant now) {
        Statement latest = mStatements.get(run);
        boolean later = latest != null && !sentAt.isBefore(latest.statedAt());
        record(run, now.plus(left), now, true, later);
    }

    /** Records for how long a run stays cold, as a peer has learnt; never makes it shorter. */
    public void merge(EndpointRun run, Duration left, Instant now) {
        record(run, now.plus(left), now, false, false);
    }

    private void record(
            EndpointRun run, Instant until, Instant now, boolean own, boolean mayShorten) {
        Statement latest = mStatements.get(run);
        Instant before = latest == null ? now : latest.until();
        if (!until.isAfter(before) && !mayShorten) {
            return;
        }
        mStatements.remove(run);
        mStatements.put(run, new Statement(until, now, own));
        if (mStatements.size() > MAX_RUNS) {
            mStatements.remove(mStatements.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a run is cold.
     *
     * @param entryUntil until when its entry says that it is cold; empty if the entry doesn't say
     * @param age time since its start; empty if unknown
     */
    public boolean isCold(
            EndpointRun run,
            ColdTraits traits,
            Optional<Instant> entryUntil,
            Optional<Duration> age,
            Instant now) {
        Statement stated = mStatements.get(run);
        if (stated != null && stated.until().isAfter(now)) {
            return true;
        }
        return entryUntil
                .map(t -> t.isAfter(now))
                .orElseGet(() -> age.filter(a -> a.compareTo(traits.time()) >= 0).isEmpty());
    }

    /** Returns the times for which runs stay cold, of all statements or of recent own ones. */
    public ImmutableMap<EndpointRun, Duration> left(boolean ownOnly, Instant now) {
        mStatements.values().removeIf(s -> s.until().plus(SHARE_TIME).isBefore(now));
        ImmutableMap.Builder<EndpointRun, Duration> left = ImmutableMap.builder();
        mStatements.forEach(
                (run, s) -> {
                    boolean shared = !ownOnly || s.isRecentOwn(now);
                    if (shared && s.until().isAfter(now)) {
                        left.put(run, Duration.between(now, s.until()));
                    }
                });
        return left.buildOrThrow();
    }

    private record Statement(Instant until, Instant statedAt, boolean own) {
        boolean isRecentOwn(Instant now) {
            return own && statedAt.plus(SHARE_TIME).isAfter(now);
        }
    }
}
