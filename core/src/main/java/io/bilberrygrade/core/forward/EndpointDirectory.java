package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.room.EvacuatedDataCentres;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Registry of the endpoints that are eligible for work. An entry removed while the store is
 * reachable means that the endpoint has stopped. An entry removed while the store was unreachable
 * may only have expired, so it is kept until the endpoint has had time to register again.
 */
public final class EndpointDirectory {
    /**
     * Time within which expired entries are registered again after the store returns, as guaranteed
     * by the platform.
     */
    public static final Duration RETURN_GRACE = Duration.ofSeconds(2);

    private final Map<EndpointId, Entry> mEntries = new LinkedHashMap<>();
    private final LeavingRuns mLeaving = new LeavingRuns();
    private final RemovedRuns mRemovedRuns = new RemovedRuns();
    private final EvacuatedDataCentres mEvacuated = new EvacuatedDataCentres();
    private boolean mStoreUnreachable;
    private Instant mStoreReturnedAt = Instant.MIN;
    private boolean mLoaded;

    /** Returns whether a complete list of the endpoints has been read. */
    public boolean isLoaded() {
        return mLoaded;
    }

    /**
     * Marks the store as unreachable. Expired entries that haven't been registered again are kept
     * until it returns, since they can't be renewed before.
     */
    public void onStoreLost() {
        mStoreUnreachable = true;
        mEntries.values().stream()
                .filter(e -> e.mExpiresAt.isPresent() && !e.mRemovedByPeer)
                .forEach(e -> e.mExpiresAt = Optional.of(Instant.MAX));
    }

    /**
     * Marks the store as reachable. Only the first answer after an outage starts the grace period.
     */
    public void onStoreAnswered(Instant now) {
        if (mStoreUnreachable) {
            mStoreUnreachable = false;
            mStoreReturnedAt = now;
            Optional<Instant> graceEnd = Optional.of(now.plus(RETURN_GRACE));
            mEntries.values().stream()
                    .filter(e -> e.mExpiresAt.isPresent() && !e.mRemovedByPeer)
                    .forEach(e -> e.mExpiresAt = graceEnd);
        }
    }

    /** Returns whether the store is unreachable. */
    public boolean isStoreUnreachable() {
        return mStoreUnreachable;
    }

    /**
     * Returns the time since the store last returned from an outage; empty if that is longer ago
     * than {@link #RETURN_GRACE}.
     */
    public Optional<Duration> timeSinceStoreReturn(Instant now) {
        return mStoreReturnedAt.isBefore(now.minus(RETURN_GRACE))
                ? Optional.empty()
                : Optional.of(Duration.between(mStoreReturnedAt, now));
    }

    /** Returns when the store last returned from an outage; {@link Instant#MIN} if never. */
    public Instant storeReturnedAt() {
        return mStoreReturnedAt;
    }

    /** Records when the store returned from an outage, as observed by a daemon that reads it. */
    public void onStoreReturned(Instant at) {
        if (at.isAfter(mStoreReturnedAt)) {
            mStoreReturnedAt = at;
        }
    }

    /**
     * Records that the store was restored from an older copy. Entries that the copy lacks may be
     * registered again; entries that had been removed before and reappear in the copy are ignored
     * until they are written again.
     */
    public void onStoreRestored(Instant now) {
        mRemovedRuns.recordRestore(now);
        onStoreReturned(now);
    }

    /** Replaces all entries by a complete list. */
    public void replace(ImmutableList<RegisteredEndpoint> entries, Instant now) {
        ImmutableMap.Builder<EndpointId, RegisteredEndpoint> builder = ImmutableMap.builder();
        entries.forEach(e -> builder.put(e.id(), e));
        ImmutableMap<EndpointId, RegisteredEndpoint> read = builder.buildKeepingLast();
        ImmutableList.copyOf(mEntries.keySet()).stream()
                .filter(id -> !read.containsKey(id) || isSuperseded(read.get(id)))
                .forEach(id -> remove(id, now));
        read.values().stream().filter(e -> !isSuperseded(e)).forEach(e -> upsert(e, now));
        mLoaded = true;
    }

    /**
     * Returns whether an entry belongs to an earlier run than the current one, as an older copy of
     * the store may show it.
     */
    private boolean isSuperseded(RegisteredEndpoint entry) {
        return find(entry.id())
                .filter(e -> e.startedAtMillis() > entry.startedAtMillis())
                .isPresent();
    }

    /** Adds or updates an entry that was just written. */
    public void put(RegisteredEndpoint entry, Instant now) {
        mRemovedRuns.recordWritten(entry.run());
        upsert(entry, now);
    }

    /** Adds or updates an entry. A run that has asked for no new work stays excluded. */
    private void upsert(RegisteredEndpoint entry, Instant now) {
        if (entry.leaving()) {
            mLeaving.add(entry.run(), now);
        }
        Entry before = mEntries.put(entry.id(), new Entry(entry, now));
        if (before != null && before.mEndpoint.startedAtMillis() < entry.startedAtMillis()) {
            mRemovedRuns.recordRemoved(before.mEndpoint.run(), now);
        }
    }

    /** Records that a run asks for no new work; returns whether it wasn't recorded before. */
    public boolean recordLeaving(EndpointRun run, Instant now) {
        return mLeaving.add(run, now);
    }

    /** Returns the runs that have asked for no new work. */
    public LeavingRuns leaving() {
        return mLeaving;
    }

    /** Returns the data centres whose endpoints get no work. */
    public EvacuatedDataCentres evacuated() {
        return mEvacuated;
    }

    /** Returns whether an endpoint is in an evacuated data centre. */
    public boolean isEvacuated(RegisteredEndpoint endpoint) {
        return mEvacuated.contains(endpoint.dataCentre());
    }

    /**
     * Returns whether a service's endpoints would be eligible for work if their data centres
     * weren't evacuated, and no others are.
     */
    public boolean isEvacuated(ServiceId service, Instant now) {
        return mEvacuated.size() > 0
                && usable(service, now).isEmpty()
                && mEntries.values().stream()
                        .map(e -> e.mEndpoint)
                        .anyMatch(e -> e.service().equals(service) && isEligible(e.run(), now));
    }

    /** Returns whether an endpoint that was chosen earlier is still eligible for work. */
    public boolean isEligible(RegisteredEndpoint endpoint, Instant now) {
        removeExpired(now);
        return isEligible(endpoint.run(), now)
                && find(endpoint.id())
                        .filter(e -> endpoint.sameRun(e) && !isEvacuated(e))
                        .isPresent();
    }

    private boolean isEligible(EndpointRun run, Instant now) {
        return !mLeaving.contains(run) && !mRemovedRuns.isStale(run, now);
    }

    /** Removes an entry whose removal this daemon observed in the store itself. */
    public void remove(EndpointId id, Instant now) {
        if (mStoreUnreachable) {
            Optional.ofNullable(mEntries.get(id))
                    .ifPresent(e -> e.mExpiresAt = Optional.of(Instant.MAX));
        } else {
            removeAfterGrace(id, now);
        }
    }

    /**
     * Removes an entry whose removal was observed by a peer that reaches the store, whether or not
     * this daemon reaches it.
     */
    public void removeAsSeenByPeer(EndpointId id, Instant now) {
        Optional.ofNullable(mEntries.get(id)).ifPresent(e -> e.mRemovedByPeer = true);
        removeAfterGrace(id, now);
    }

    private void removeAfterGrace(EndpointId id, Instant now) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        Instant graceEnd =
                mStoreReturnedAt.equals(Instant.MIN) ? now : mStoreReturnedAt.plus(RETURN_GRACE);
        if (now.isBefore(graceEnd)) {
            entry.mExpiresAt = Optional.of(graceEnd);
        } else {
            mEntries.remove(id);
            mRemovedRuns.recordRemoved(entry.mEndpoint.run(), now);
        }
    }

    /** Returns the endpoint if it is registered, whether or not it is eligible for work. */
    public Optional<RegisteredEndpoint> find(EndpointId id) {
        return Optional.ofNullable(mEntries.get(id)).map(e -> e.mEndpoint);
    }

    /** Returns the endpoint if it is registered and its entry hasn't expired. */
    public Optional<RegisteredEndpoint> find(EndpointId id, Instant now) {
        removeExpired(now);
        return find(id);
    }

    /** Returns until when an endpoint's entry says that it is cold; empty if it doesn't say. */
    public Optional<Instant> coldUntil(EndpointId id) {
        return Optional.ofNullable(mEntries.get(id)).flatMap(e -> e.mColdUntil);
    }

    /** Returns the ids of all registered endpoints, whether or not they are eligible for work. */
    public ImmutableSet<EndpointId> ids() {
        return ImmutableSet.copyOf(mEntries.keySet());
    }

    /** Returns the endpoints of a service that are eligible for work. */
    public ImmutableList<RegisteredEndpoint> usable(ServiceId service, Instant now) {
        removeExpired(now);
        return mEntries.values().stream()
                .map(e -> e.mEndpoint)
                .filter(
                        e ->
                                e.service().equals(service)
                                        && !isEvacuated(e)
                                        && isEligible(e.run(), now))
                .collect(ImmutableList.toImmutableList());
    }

    private void removeExpired(Instant now) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            if (entry.mExpiresAt.filter(t -> !now.isBefore(t)).isPresent()) {
                mRemovedRuns.recordRemoved(entry.mEndpoint.run(), now);
                entries.remove();
            }
        }
    }

    private static final class Entry {
        private final RegisteredEndpoint mEndpoint;
        private final Optional<Instant> mColdUntil;
        private Optional<Instant> mExpiresAt = Optional.empty();
        private boolean mRemovedByPeer;

        Entry(RegisteredEndpoint endpoint, Instant now) {
            mEndpoint = endpoint;
            mColdUntil = endpoint.coldLeft().map(now::plus);
        }
    }
}
