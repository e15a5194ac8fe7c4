package io.bilberrygrade.core.relay;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Members of the fleet that take over requests, as known to the daemon that names them to others.
 * The load is half a fleet that is cut off at once: members are named in random order, but in
 * rounds, so that each is named equally often. Independent samples name some members twice as often
 * as others.
 */
public final class RelayMembers {
    /** Time after which a member that hasn't reported again isn't named any more. */
    private static final Duration LIFETIME = Duration.ofSeconds(3);

    /** Time for which a member that asked for relays isn't named: it is cut off too. */
    private static final Duration ASKER_EXCLUSION = Duration.ofSeconds(3);

    private final UniformRandomProvider mRandom;
    private final Map<Address, Stated> mStated = new HashMap<>();
    private final Map<Address, Instant> mAskedAt = new HashMap<>();
    private final Deque<Address> mRound = new ArrayDeque<>();
    private Instant mExpiredRemovedAt = Instant.MIN;

    /** Creates the members as known to a daemon that has received no reports yet. */
    public RelayMembers(UniformRandomProvider random) {
        mRandom = random;
    }

    /**
     * Records a report of a member.
     *
     * @param relay address at which it takes over requests; empty if it takes none
     */
    public void recordReport(Address member, Optional<Address> relay, Instant now) {
        if (relay.isEmpty()) {
            mStated.remove(member);
            return;
        }
        mStated.put(member, new Stated(relay.get(), now));
        if (!mExpiredRemovedAt.plus(LIFETIME).isAfter(now)) {
            removeExpired(now);
        }
    }

    /** Records that a member asked for relays, and returns at most the given number for it. */
    public ImmutableList<Address> nameFor(Address asking, int count, Instant now) {
        mAskedAt.put(asking, now);
        removeExpired(now);
        Map<Address, Address> named = new LinkedHashMap<>();
        List<Address> later = new ArrayList<>();
        boolean refilled = false;
        while (named.size() < count && (!mRound.isEmpty() || !refilled)) {
            if (mRound.isEmpty()) {
                startRound();
                refilled = true;
                continue;
            }
            Address next = mRound.remove();
            if (named.containsKey(next)) {
                later.add(next);
            } else if (mStated.containsKey(next) && !mAskedAt.containsKey(next)) {
                named.put(next, mStated.get(next).relay());
            }
        }
        mRound.addAll(later);
        return ImmutableList.copyOf(named.values());
    }

    private void startRound() {
        List<Address> members = new ArrayList<>(mStated.keySet());
        // The order of a hash map isn't the same in every run.
        members.sort(Comparator.comparing(Address::toString));
        Collections.shuffle(members, mRandom::nextLong);
        mRound.addAll(members);
    }

    private void removeExpired(Instant now) {
        mExpiredRemovedAt = now;
        mStated.values().removeIf(s -> !s.at().plus(LIFETIME).isAfter(now));
        mAskedAt.values().removeIf(t -> !t.plus(ASKER_EXCLUSION).isAfter(now));
    }

    private record Stated(Address relay, Instant at) {}
}
