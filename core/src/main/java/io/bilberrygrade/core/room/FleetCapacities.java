package io.bilberrygrade.core.room;

import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/**
 * Capacities that the instances of a fleet state, and the classes by which instances take the roles
 * of aggregator and standby. The load is a fleet most of whose instances have a quarter of a core,
 * where the oldest one can't answer all others in time. Instances that state nothing are ordered
 * behind those that do; a fleet without such differences is ordered by age alone.
 */
public final class FleetCapacities {
    /** Time after the last contact or naming for which a capacity counts for the range. */
    private static final Duration LIFETIME = Duration.ofSeconds(3);

    /**
     * Time for which a fleet stays uneven after the last sign of it, so that instances that start
     * again don't change the order of the others.
     */
    private static final Duration UNEVEN_RETENTION = Duration.ofSeconds(30);

    /** Interval at which the range is determined, since that takes time for each instance. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Ranks by which slow instances come behind others; more than there are classes. */
    private static final int SLOW_PENALTY = 64;

    private final Address mSelf;
    private Optional<CapacityStatement> mOwn;
    private final Map<Address, Stated> mStated = new HashMap<>();
    private Instant mUnevenUntil = Instant.MIN;
    private Instant mCheckedAt = Instant.MIN;

    /** Creates the capacities as known to an instance that has met no others. */
    public FleetCapacities(Address self, Optional<Capacity> own) {
        mSelf = self;
        mOwn = own.map(c -> new CapacityStatement(c, false));
    }

    /** Returns what this instance states. */
    public Optional<CapacityStatement> own() {
        return mOwn;
    }

    /** Records whether this instance is slow; returns whether it states that anew. */
    public boolean recordOwnSlowness(boolean slow) {
        boolean changed = mOwn.filter(s -> s.slow() != slow).isPresent();
        mOwn = mOwn.map(s -> new CapacityStatement(s.capacity(), slow));
        return changed;
    }

    /** Returns what an instance states, if that is known. */
    public Optional<CapacityStatement> of(Address member) {
        return member.equals(mSelf)
                ? mOwn
                : Optional.ofNullable(mStated.get(member)).map(Stated::statement);
    }

    /** Records what an instance states about itself; nothing if it is of an older version. */
    public void recordOwnStatement(
            Address member, Optional<CapacityStatement> stated, Instant now) {
        if (stated.isEmpty()) {
            mStated.remove(member);
        } else {
            Stated before = mStated.put(member, new Stated(stated.get(), now, now));
            if (before == null || !before.statement().equals(stated.get())) {
                mCheckedAt = Instant.MIN;
            }
        }
    }

    /** Records what an instance stated that a peer named. */
    public void recordNamed(Address member, CapacityStatement stated, Instant now) {
        if (!mStated.containsKey(member)) {
            mCheckedAt = Instant.MIN;
        }
        mStated.merge(
                member,
                new Stated(stated, Instant.MIN, now),
                (old, n) ->
                        new Stated(
                                old.isContacted(now) ? old.statement() : stated,
                                old.contactAt(),
                                now));
    }

    /** Records the range that a peer knows of. */
    public void recordRange(CapacityRange range, Instant now) {
        if (range.isUneven()) {
            mUnevenUntil = now.plus(UNEVEN_RETENTION);
        }
    }

    /**
     * Returns the range to report to peers: of this instance and those it was in direct contact
     * with. If ranges were passed on by hearsay, one that has ended would be reported for ever.
     */
    public Optional<CapacityRange> contactedRange(Instant now) {
        return range(mStated.values().stream().filter(s -> s.isContacted(now)));
    }

    private Optional<CapacityRange> range(Stream<Stated> stated) {
        return Stream.concat(mOwn.stream(), stated.map(Stated::statement))
                .map(s -> s.capacity().processorMillis())
                .map(p -> new CapacityRange(p, p))
                .reduce(CapacityRange::union);
    }

    /** Returns whether the capacities of the fleet's instances differ widely. */
    public boolean isUneven(Instant now) {
        if (!now.isBefore(mCheckedAt.plus(CHECK_INTERVAL))) {
            mCheckedAt = now;
            mStated.values().removeIf(s -> s.namedAt().plus(UNEVEN_RETENTION).isBefore(now));
            Instant since = now.minus(LIFETIME);
            range(mStated.values().stream().filter(s -> s.namedAt().isAfter(since)))
                    .ifPresent(r -> recordRange(r, now));
        }
        return now.isBefore(mUnevenUntil);
    }

    /**
     * Returns the ranks in which instances take the roles, highest first: in an uneven fleet by
     * class, those that state that they are slow last; otherwise all alike.
     */
    public ToIntFunction<Address> ranking(Instant now) {
        return isUneven(now)
                ? member -> of(member).map(FleetCapacities::rank).orElse(0)
                : member -> 0;
    }

    private static int rank(CapacityStatement stated) {
        int rank = stated.capacity().processorClass();
        return stated.slow() ? rank - SLOW_PENALTY : rank;
    }

    private record Stated(CapacityStatement statement, Instant contactAt, Instant namedAt) {
        boolean isContacted(Instant now) {
            return contactAt.isAfter(now.minus(LIFETIME));
        }
    }
}
