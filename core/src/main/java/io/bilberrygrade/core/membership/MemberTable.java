package io.bilberrygrade.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Heartbeats of all known members, including this daemon's own. Dead members that are no longer
 * published are removed, so that the table stays bounded.
 */
public final class MemberTable {
    /** Maximum number of peers in the table; heartbeats of others are ignored. */
    public static final int MAX_MEMBERS = 4_096;

    private static final int PAUSE_THRESHOLD_ROUNDS = 3;

    private final SuspicionPolicy mPolicy;
    private final Map<InstanceId, Entry> mEntries = new LinkedHashMap<>();
    private final Deque<InstanceId> mRotation = new ArrayDeque<>();
    private Heartbeat mSelf;
    private Instant mRoundStartedAt;

    /** Creates the table of a run that starts now, without peers. */
    public MemberTable(
            InstanceId self, Incarnation incarnation, SuspicionPolicy policy, Instant now) {
        mSelf = new Heartbeat(self, incarnation, 0);
        mPolicy = policy;
        mRoundStartedAt = now;
    }

    /**
     * Starts a gossip round of this run. If this run was paused, the pause doesn't count towards
     * the peers' silence, since no heartbeat could be received during it.
     */
    public void incrementHeartbeat(Instant now) {
        Duration gap = Duration.between(mRoundStartedAt, now);
        if (gap.compareTo(mPolicy.rounds(PAUSE_THRESHOLD_ROUNDS)) > 0) {
            mEntries.values().forEach(e -> e.mReceivedAt = earlier(e.mReceivedAt.plus(gap), now));
        }
        mRoundStartedAt = now;
        mSelf = new Heartbeat(mSelf.instance(), mSelf.incarnation(), mSelf.counter() + 1);
    }

    /**
     * Returns the earlier of two times. It caps the shifted time of a heartbeat that was received
     * after the pause but before this round, which would otherwise lie in the future.
     */
    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    /** Records a heartbeat; returns whether it is the first one of a run. */
    public boolean recordHeartbeat(Heartbeat heartbeat, Instant now) {
        if (heartbeat.instance().equals(mSelf.instance())) {
            return false;
        }
        Entry entry = mEntries.get(heartbeat.instance());
        if (entry == null) {
            return add(heartbeat, now);
        }
        if (!heartbeat.supersedes(entry.mHeartbeat)) {
            return false;
        }
        boolean newRun = !heartbeat.incarnation().equals(entry.mHeartbeat.incarnation());
        entry.mHeartbeat = heartbeat;
        entry.mReceivedAt = now;
        return newRun;
    }

    private boolean add(Heartbeat heartbeat, Instant now) {
        if (mEntries.size() >= MAX_MEMBERS) {
            return false;
        }
        mEntries.put(heartbeat.instance(), new Entry(heartbeat, now));
        mRotation.addFirst(heartbeat.instance());
        return true;
    }

    /** Returns this daemon's view of a peer. */
    public Liveness liveness(InstanceId peer, Instant now) {
        Entry entry = mEntries.get(peer);
        if (entry == null) {
            return Liveness.UNKNOWN;
        }
        Duration silence = Duration.between(entry.mReceivedAt, now);
        int members = mEntries.size() + 1;
        if (silence.compareTo(mPolicy.suspectAfter(members)) < 0) {
            return Liveness.ALIVE;
        }
        return silence.compareTo(mPolicy.deadAfter(members)) < 0
                ? Liveness.SUSPECTED
                : Liveness.DEAD;
    }

    /** Returns the newest known run of a peer, whether it is alive or not. */
    public Optional<Incarnation> incarnation(InstanceId peer) {
        return Optional.ofNullable(mEntries.get(peer)).map(e -> e.mHeartbeat.incarnation());
    }

    /**
     * Returns whether a run has certainly ended, since a later run of the same instance is known.
     */
    public boolean hasEnded(InstanceId instance, Incarnation incarnation) {
        Incarnation newest =
                instance.equals(mSelf.instance())
                        ? mSelf.incarnation()
                        : incarnation(instance).orElse(incarnation);
        return newest.compareTo(incarnation) > 0;
    }

    /** Returns the peers that are not dead. */
    public ImmutableList<Heartbeat> members(Instant now) {
        return mEntries.values().stream()
                .map(e -> e.mHeartbeat)
                .filter(h -> liveness(h.instance(), now) != Liveness.DEAD)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns this run's heartbeat and those of the peers next in rotation, at most {@code size} in
     * total. Dead peers are left out, so that no stale heartbeat is treated as a new one.
     */
    public ImmutableList<Heartbeat> digest(int size, Instant now) {
        ImmutableList.Builder<Heartbeat> digest = ImmutableList.builder();
        digest.add(mSelf);
        int left = size - 1;
        for (int turn = mRotation.size(); turn > 0 && left > 0; turn--) {
            InstanceId next = mRotation.removeFirst();
            mRotation.addLast(next);
            if (liveness(next, now) != Liveness.DEAD) {
                digest.add(mEntries.get(next).mHeartbeat);
                left--;
            }
        }
        return digest.build();
    }

    /** Removes dead peers that are not among the published instances. */
    public void retain(ImmutableSet<InstanceId> published, Instant now) {
        mRotation.removeIf(id -> !published.contains(id) && liveness(id, now) == Liveness.DEAD);
        mEntries.keySet().retainAll(ImmutableSet.copyOf(mRotation));
    }

    private static final class Entry {
        private Heartbeat mHeartbeat;
        private Instant mReceivedAt;

        Entry(Heartbeat heartbeat, Instant receivedAt) {
            mHeartbeat = heartbeat;
            mReceivedAt = receivedAt;
        }
    }
}
