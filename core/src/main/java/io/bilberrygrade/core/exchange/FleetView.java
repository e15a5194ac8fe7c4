package io.bilberrygrade.core.exchange;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.room.FleetCapacities;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One daemon's view of the fleet's members and of the aggregator among them, which sums up the work
 * of all daemons. The oldest member is the aggregator; the second oldest, the standby, keeps the
 * same sums and takes over on failure. In a fleet whose members' capacities differ widely, those of
 * the highest class come first, and age decides within a class; members that state that they are
 * slow come last. Every peer that a daemon calls names both, so a daemon needs to know only a few
 * members.
 */
public final class FleetView {
    /** Maximum number of members named to peers: the aggregator and those next in line. */
    private static final int MAX_NAMED_MEMBERS = 4;

    /**
     * Maximum size of a fleet that is taken from a peer; several times that of the largest fleet. A
     * daemon waits in proportion to the size until its next report.
     */
    private static final int MAX_REPORTED_SIZE = 2_000;

    /**
     * Time after which a member is removed if it hasn't exchanged messages with this daemon and no
     * peer has named it.
     */
    private static final Duration LIFETIME = Duration.ofSeconds(3);

    /** Time for which a member that didn't answer is skipped, even if peers name it. */
    private static final Duration RETRY = Duration.ofSeconds(2);

    private final FleetMember mSelf;
    private final FleetCapacities mCapacities;
    private ImmutableSet<Address> mSeeds;
    private final Map<Address, MemberRecord> mSeen = new HashMap<>();
    private final Map<Address, Instant> mRetryAt = new HashMap<>();
    private final FleetPeak mPeak = new FleetPeak();
    private final Set<Address> mEverReached = new HashSet<>();
    private int mNextSeedIndex;
    private int mReportedSize;
    private Instant mSizeReportedAt = Instant.MIN;

    /** Creates the view of a daemon that has had no contact with peers yet. */
    public FleetView(FleetMember self, ImmutableList<Address> seeds) {
        this(self, seeds, new FleetCapacities(self.address(), Optional.empty()));
    }

    /** Creates the view of a daemon that may state its capacity. */
    public FleetView(FleetMember self, ImmutableList<Address> seeds, FleetCapacities capacities) {
        mSelf = self;
        mCapacities = capacities;
        setSeeds(seeds);
    }

    /** Returns the capacities that the members state. */
    public FleetCapacities capacities() {
        return mCapacities;
    }

    /** Replaces the seeds; members that were found through the earlier ones stay. */
    public void setSeeds(ImmutableList<Address> seeds) {
        mSeeds =
                seeds.stream()
                        .filter(s -> !s.equals(mSelf.address()))
                        .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the seeds without this daemon. */
    public ImmutableList<Address> seeds() {
        return mSeeds.asList();
    }

    /** Records a call or an answer from a member. */
    public void recordContact(FleetMember member, Instant now) {
        if (!member.address().equals(mSelf.address())) {
            mSeen.put(member.address(), new MemberRecord(member, now, now));
            mEverReached.add(member.address());
            mRetryAt.remove(member.address());
        }
    }

    /**
     * Records the members that a peer named and the size of the fleet that it reported. Members
     * beyond {@code MAX_NAMED_MEMBERS} are ignored, and the size is bounded.
     */
    public void recordNamed(ImmutableList<FleetMember> members, int fleet, Instant now) {
        members.stream()
                .limit(MAX_NAMED_MEMBERS)
                .filter(m -> !m.address().equals(mSelf.address()))
                .forEach(
                        m ->
                                mSeen.merge(
                                        m.address(),
                                        new MemberRecord(m, Instant.MIN, now),
                                        (old, n) -> old.withNaming(m, now)));
        mReportedSize = Math.min(fleet, MAX_REPORTED_SIZE);
        mSizeReportedAt = now;
    }

    /** Records a failed call. */
    public void recordFailure(Address address, Instant now) {
        mRetryAt.put(address, now.plus(RETRY));
    }

    /** Returns whether this daemon is the aggregator. */
    public boolean isAggregator(Instant now) {
        return aggregator(now).equals(mSelf);
    }

    /** Returns the aggregator, which is this daemon if no reachable member comes before it. */
    public FleetMember aggregator(Instant now) {
        return aggregators(now).getFirst();
    }

    /** Returns the interval until this daemon's next report. */
    public Duration exchangeInterval(boolean quiet, Instant now) {
        int fleet = size(now);
        return Optional.of(mCapacities)
                .filter(c -> c.isUneven(now))
                .flatMap(c -> c.of(aggregator(now).address()))
                .filter(s -> !s.slow())
                .map(s -> ExchangeInterval.nextInterval(fleet, quiet, s.capacity()))
                .orElseGet(() -> ExchangeInterval.nextInterval(fleet, quiet));
    }

    /** Returns the member that takes over if the aggregator fails; empty in a fleet of one. */
    public Optional<FleetMember> standby(Instant now) {
        return aggregators(now).stream().skip(1).findFirst();
    }

    /** Returns the aggregator and the members next in line, in order. */
    public ImmutableList<FleetMember> aggregators(Instant now) {
        return firstWithSelf(reachable(now), now);
    }

    private ImmutableList<FleetMember> firstWithSelf(Stream<FleetMember> others, Instant now) {
        return Stream.concat(Stream.of(mSelf), others)
                .collect(
                        Collectors.collectingAndThen(
                                Comparators.least(MAX_NAMED_MEMBERS, order(now)),
                                ImmutableList::copyOf));
    }

    private Comparator<FleetMember> order(Instant now) {
        ToIntFunction<Address> ranking = mCapacities.ranking(now);
        return Comparator.comparingInt((FleetMember m) -> -ranking.applyAsInt(m.address()))
                .thenComparing(Comparator.naturalOrder());
    }

    /**
     * Returns the aggregator and the members next in line to name to a peer: besides this daemon,
     * only members that it was in direct contact with. If members were passed on by hearsay, a
     * failed one would be named for ever.
     */
    public ImmutableList<FleetMember> contactedAggregators(Instant now) {
        Instant since = now.minus(LIFETIME);
        return firstWithSelf(
                mSeen.values().stream()
                        .filter(s -> s.contactAt().isAfter(since))
                        .map(MemberRecord::member),
                now);
    }

    /** Returns the seeds in rotation, one a call; empty if there is none but this daemon. */
    public Optional<Address> nextSeed() {
        return mSeeds.isEmpty()
                ? Optional.empty()
                : Optional.of(mSeeds.asList().get(Math.floorMod(mNextSeedIndex++, mSeeds.size())));
    }

    /**
     * Returns the size of the fleet including this daemon: the larger of the number of members
     * known here and the number that a peer reported within {@code LIFETIME}.
     */
    public int size(Instant now) {
        int knownMembers = knownSize(now);
        return mSizeReportedAt.plus(LIFETIME).isAfter(now)
                ? Math.max(knownMembers, mReportedSize)
                : knownMembers;
    }

    /**
     * Returns the number of members known here, including this daemon, which is what it reports to
     * peers: if sizes were passed on by hearsay, two daemons would confirm an old one for ever.
     */
    public int knownSize(Instant now) {
        removeExpired(now);
        return (int) currentMembers(now).count() + 1;
    }

    /**
     * Returns the largest recent size of the fleet, with which to divide what daemons that can't
     * reach each other share. Peers report current sizes only: a peak that went round would last
     * for ever.
     */
    public int peakSize(Instant now) {
        mPeak.observe(sizeWithUnreachedSeeds(now), now);
        return mPeak.size(now);
    }

    /**
     * Returns the size of the fleet including seeds that this daemon has never reached, which may
     * be running nevertheless.
     */
    int sizeWithUnreachedSeeds(Instant now) {
        int size = size(now);
        int unreached =
                (int)
                        mSeeds.stream()
                                .filter(s -> !mEverReached.contains(s) && !mSeen.containsKey(s))
                                .count();
        return Math.max(size, knownSize(now) + unreached);
    }

    /** Returns whether this daemon has reached a peer since its start, or is meant to be alone. */
    public boolean hasMetPeers() {
        return mSeeds.isEmpty() || !mEverReached.isEmpty();
    }

    private Stream<FleetMember> reachable(Instant now) {
        return currentMembers(now)
                .map(MemberRecord::member)
                .filter(m -> !now.isBefore(mRetryAt.getOrDefault(m.address(), Instant.MIN)));
    }

    private Stream<MemberRecord> currentMembers(Instant now) {
        return mSeen.values().stream().filter(s -> s.namedAt().plus(LIFETIME).isAfter(now));
    }

    private void removeExpired(Instant now) {
        mSeen.values().removeIf(s -> !s.namedAt().plus(LIFETIME).isAfter(now));
        mRetryAt.values().removeIf(t -> !t.isAfter(now));
    }

    /**
     * Member with the times of the last direct contact and of the last contact or naming. A naming
     * by a peer doesn't replace a run by an older one.
     */
    private record MemberRecord(FleetMember member, Instant contactAt, Instant namedAt) {
        MemberRecord withNaming(FleetMember reported, Instant now) {
            return reported.startedAtMillis() >= member.startedAtMillis()
                    ? new MemberRecord(reported, contactAt, now)
                    : this;
        }
    }
}
