package io.bilberrygrade.core.exchange;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Members of the fleet that one daemon believes in, and which of them is the aggregator, which sums
 * up the work of all. The oldest member is; the next one, the standby, keeps the same sums, ready
 * to take over. A daemon hears of both from whoever it calls, so that it needs to know few others.
 */
public final class FleetView {
    /** Members that are named to peers: the aggregator and those that could take over. */
    private static final int MAX_NAMED = 4;

    /** Time after which a member that was neither heard nor named is taken for gone. */
    private static final Duration LIFETIME = Duration.ofSeconds(3);

    /** Time for which a member that didn't answer is passed over, whatever peers say of it. */
    private static final Duration RETRY = Duration.ofSeconds(2);

    private final FleetMember mSelf;
    private ImmutableSet<Address> mSeeds;
    private final Map<Address, Seen> mSeen = new HashMap<>();
    private final Map<Address, Instant> mRetryAt = new HashMap<>();
    private int mSeedTurn;
    private int mSizeSaid;
    private Instant mSizeSaidAt = Instant.MIN;

    /** Creates the view of a daemon that has met nobody yet. */
    public FleetView(FleetMember self, ImmutableList<Address> seeds) {
        mSelf = self;
        setSeeds(seeds);
    }

    /** Replaces the seeds; members that were met through earlier ones stay. */
    public void setSeeds(ImmutableList<Address> seeds) {
        mSeeds =
                seeds.stream()
                        .filter(s -> !s.equals(mSelf.address()))
                        .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the seeds but this daemon. */
    public ImmutableList<Address> seeds() {
        return mSeeds.asList();
    }

    /** Takes note that a member called or answered. */
    public void heard(FleetMember member, Instant now) {
        if (!member.address().equals(mSelf.address())) {
            mSeen.put(member.address(), new Seen(member, now, now));
            mRetryAt.remove(member.address());
        }
    }

    /** Takes note of members that a peer named, and of how many it knows. */
    public void named(ImmutableList<FleetMember> members, int fleet, Instant now) {
        members.stream()
                .filter(m -> !m.address().equals(mSelf.address()))
                .forEach(
                        m ->
                                mSeen.merge(
                                        m.address(),
                                        new Seen(m, Instant.MIN, now),
                                        (old, n) -> old.named(m, now)));
        mSizeSaid = fleet;
        mSizeSaidAt = now;
    }

    /** Takes note that a call failed. */
    public void failed(Address address, Instant now) {
        mRetryAt.put(address, now.plus(RETRY));
    }

    /** Returns whether this daemon is the aggregator. */
    public boolean isAggregator(Instant now) {
        return aggregator(now).equals(mSelf);
    }

    /** Returns the aggregator: this daemon itself if it knows of no older one. */
    public FleetMember aggregator(Instant now) {
        return aggregators(now).getFirst();
    }

    /** Returns the member that takes over if the aggregator goes; empty in a fleet of one. */
    public Optional<FleetMember> standby(Instant now) {
        return aggregators(now).stream().skip(1).findFirst();
    }

    /** Returns the aggregator and those that could take over, in their order. */
    public ImmutableList<FleetMember> aggregators(Instant now) {
        return first(reachable(now));
    }

    private ImmutableList<FleetMember> first(Stream<FleetMember> others) {
        return Stream.concat(Stream.of(mSelf), others)
                .sorted()
                .limit(MAX_NAMED)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the aggregator and those that could take over for a peer: of the others only those
     * that this daemon heard itself. If members were passed on by hearsay, one that has gone would
     * be named for ever.
     */
    public ImmutableList<FleetMember> heardAggregators(Instant now) {
        Instant since = now.minus(LIFETIME);
        return first(
                mSeen.values().stream().filter(s -> s.heardAt().isAfter(since)).map(Seen::member));
    }

    /** Returns the next of the seeds, each in its turn; empty if there is none but this daemon. */
    public Optional<Address> nextSeed() {
        return mSeeds.isEmpty()
                ? Optional.empty()
                : Optional.of(mSeeds.asList().get(Math.floorMod(mSeedTurn++, mSeeds.size())));
    }

    /**
     * Returns the number of daemons of the fleet, this one included: those that it met itself, or
     * as many as the aggregator knows.
     */
    public int size(Instant now) {
        forgetOld(now);
        int met = (int) alive(now).count() + 1;
        return mSizeSaidAt.plus(LIFETIME).isAfter(now) ? Math.max(met, mSizeSaid) : met;
    }

    private Stream<FleetMember> reachable(Instant now) {
        return alive(now)
                .map(Seen::member)
                .filter(m -> !now.isBefore(mRetryAt.getOrDefault(m.address(), Instant.MIN)));
    }

    private Stream<Seen> alive(Instant now) {
        return mSeen.values().stream().filter(s -> s.namedAt().plus(LIFETIME).isAfter(now));
    }

    private void forgetOld(Instant now) {
        mSeen.values().removeIf(s -> !s.namedAt().plus(LIFETIME).isAfter(now));
        mRetryAt.values().removeIf(t -> !t.isAfter(now));
    }

    /**
     * A member, when it was heard, and when it was last heard or named. A run that was heard isn't
     * replaced by an older one that a peer still names.
     */
    private record Seen(FleetMember member, Instant heardAt, Instant namedAt) {
        Seen named(FleetMember said, Instant now) {
            return said.startedAtMillis() >= member.startedAtMillis()
                    ? new Seen(said, heardAt, now)
                    : this;
        }
    }
}
