package io.bilberrygrade.core.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Ordering;
import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the relay for each request that a daemon hands over. The load is that of a daemon, or of
 * half a fleet, that is cut off from all endpoints: all its requests pass through a few peers,
 * which serve their own callers too. Of two relays drawn at random the one with fewer requests of
 * this daemon is chosen, so that a slow relay gets fewer.
 */
public final class RelayChoice {
    /** Age from which the named relays should be replaced. */
    private static final Duration STALE_AFTER = Duration.ofSeconds(1);

    /** Age from which the named relays aren't used any more. */
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    /** Time for which a relay that failed gets no requests. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(1);

    /** Time for which a relay that refused without stating one gets no requests. */
    private static final Duration DEFAULT_REFUSAL_PAUSE = Duration.ofSeconds(1);

    /** Longest time for which a relay that refused gets no requests. */
    private static final Duration MAX_REFUSAL_PAUSE = Duration.ofSeconds(5);

    private final UniformRandomProvider mRandom;
    private final Map<Address, Integer> mUnderWay = new HashMap<>();
    private final Map<Address, Instant> mPausedUntil = new HashMap<>();
    private ImmutableList<Address> mRelays = ImmutableList.of();
    private Instant mSetAt = Instant.MIN;

    /** Creates the choice of a daemon that knows of no relays yet. */
    public RelayChoice(UniformRandomProvider random) {
        mRandom = random;
    }

    /** Replaces the relays. Requests under way at the earlier ones still count. */
    public void set(List<Address> relays, Instant now) {
        mRelays = ImmutableSet.copyOf(relays).asList();
        mSetAt = now;
        mPausedUntil.values().removeIf(t -> !t.isAfter(now));
    }

    /** Returns whether the relays should be replaced. */
    public boolean isStale(Instant now) {
        return !mSetAt.plus(STALE_AFTER).isAfter(now);
    }

    /** Returns whether no relay is known, not even one that is left out for a while. */
    public boolean isEmpty(Instant now) {
        return valid(now).isEmpty();
    }

    /** Returns the number of relays that are known, also of those that are left out for a while. */
    public int size(Instant now) {
        return valid(now).size();
    }

    /** Returns the relay for the next request; empty if there is none or all are left out. */
    public Optional<Address> choose(Instant now) {
        ImmutableList<Address> usable =
                valid(now).stream()
                        .filter(r -> !mPausedUntil.getOrDefault(r, Instant.MIN).isAfter(now))
                        .collect(ImmutableList.toImmutableList());
        if (usable.size() < 2) {
            return usable.stream().findFirst();
        }
        int first = mRandom.nextInt(usable.size());
        int second = (first + 1 + mRandom.nextInt(usable.size() - 1)) % usable.size();
        return Optional.of(
                Ordering.natural()
                        .onResultOf(this::underWay)
                        .min(usable.get(first), usable.get(second)));
    }

    private ImmutableList<Address> valid(Instant now) {
        return mSetAt.plus(LIFETIME).isAfter(now) ? mRelays : ImmutableList.of();
    }

    /** Returns the number of this daemon's requests under way at a relay. */
    public int underWay(Address relay) {
        return mUnderWay.getOrDefault(relay, 0);
    }

    /** Records that a request was handed over. */
    public void recordStarted(Address relay) {
        mUnderWay.merge(relay, 1, Integer::sum);
    }

    /** Records that a request that was handed over has ended, in whatever way. */
    public void recordEnded(Address relay) {
        mUnderWay.computeIfPresent(relay, (r, count) -> count > 1 ? count - 1 : null);
    }

    /** Leaves out a relay that could not be reached or broke off. */
    public void recordFailed(Address relay, Instant now) {
        pause(relay, FAILURE_PAUSE, now);
    }

    /** Leaves out a relay that refused a request, for the time that it stated, if any. */
    public void recordRefused(Address relay, Optional<Duration> retryAfter, Instant now) {
        Duration stated = retryAfter.orElse(DEFAULT_REFUSAL_PAUSE);
        pause(relay, Ordering.natural().min(stated, MAX_REFUSAL_PAUSE), now);
    }

    private void pause(Address relay, Duration pause, Instant now) {
        mPausedUntil.merge(relay, now.plus(pause), Ordering.natural()::max);
    }
}
