package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Endpoints that may get work. An entry that vanishes while the store works means that the endpoint
 * has gone; one that vanished while the store was away may only have lapsed, so it is kept until
 * the endpoint had time to come back.
 */
public final class EndpointDirectory {
    /** Time after the store's return within which lapsed entries are back; platform's promise. */
    public static final Duration RETURN_GRACE = Duration.ofSeconds(2);

    private final Map<EndpointId, Entry> mEntries = new LinkedHashMap<>();
    private final LeavingRuns mLeaving = new LeavingRuns();
    private final VanishedRuns mVanished = new VanishedRuns();
    private boolean mAway;
    private Instant mReturnedAt = Instant.MIN;
    private boolean mKnown;

    /** Returns whether the endpoints were ever read whole. */
    public boolean known() {
        return mKnown;
    }

    /** States that the store can't be reached; what had not come back yet can't come back now. */
    public void storeLost() {
        mAway = true;
        mEntries.values().stream()
                .filter(e -> e.mLapsedUntil.isPresent() && !e.mGoneForPeer)
                .forEach(e -> e.mLapsedUntil = Optional.of(Instant.MAX));
    }

    /** States that the store answers; only the first answer after a loss matters. */
    public void storeAnswered(Instant now) {
        if (mAway) {
            mAway = false;
            mReturnedAt = now;
            Optional<Instant> graceEnd = Optional.of(now.plus(RETURN_GRACE));
            mEntries.values().stream()
                    .filter(e -> e.mLapsedUntil.isPresent() && !e.mGoneForPeer)
                    .forEach(e -> e.mLapsedUntil = graceEnd);
        }
    }

    /** Returns whether the store can't be reached. */
    public boolean storeAway() {
        return mAway;
    }

    /** Returns the time since the store's last return; empty if that is long ago. */
    public Optional<Duration> returnedAgo(Instant now) {
        return mReturnedAt.isBefore(now.minus(RETURN_GRACE))
                ? Optional.empty()
                : Optional.of(Duration.between(mReturnedAt, now));
    }

    /** States when the store has returned, as a daemon that reads it has seen. */
    public void storeReturned(Instant at) {
        if (at.isAfter(mReturnedAt)) {
            mReturnedAt = at;
        }
    }

    /**
     * States that the store came back from an older copy. Entries that it lacks may be written
     * again; entries that had vanished before and that it has again count only once written.
     */
    public void storeCameBackOlder(Instant now) {
        mVanished.copyShown(now);
        storeReturned(now);
    }

    /** Takes over a whole list of entries. */
    public void replace(ImmutableList<RegisteredEndpoint> entries, Instant now) {
        ImmutableMap.Builder<EndpointId, RegisteredEndpoint> builder = ImmutableMap.builder();
        entries.forEach(e -> builder.put(e.id(), e));
        ImmutableMap<EndpointId, RegisteredEndpoint> read = builder.buildKeepingLast();
        ImmutableList.copyOf(mEntries.keySet()).stream()
                .filter(id -> !read.containsKey(id) || superseded(read.get(id)))
                .forEach(id -> remove(id, now));
        read.values().stream().filter(e -> !superseded(e)).forEach(e -> take(e, now));
        mKnown = true;
    }

    /** Returns whether an older copy shows a run that has made way for the one that is known. */
    private boolean superseded(RegisteredEndpoint entry) {
        return find(entry.id())
                .filter(e -> e.startedAtMillis() > entry.startedAtMillis())
                .isPresent();
    }

    /** Takes over an entry that was just written. */
    public void put(RegisteredEndpoint entry, Instant now) {
        mVanished.written(entry.run());
        take(entry, now);
    }

    /** Takes over an entry. A run that asked for no new work once gets none any more. */
    private void take(RegisteredEndpoint entry, Instant now) {
        if (entry.leaving()) {
            mLeaving.add(entry.run(), now);
        }
        Entry before = mEntries.put(entry.id(), new Entry(entry));
        if (before != null && before.mEndpoint.startedAtMillis() < entry.startedAtMillis()) {
            mVanished.vanished(before.mEndpoint.run(), now);
        }
    }

    /** Takes note that a run asks for no new work; returns whether that is new. */
    public boolean leaves(EndpointRun run, Instant now) {
        return mLeaving.add(run, now);
    }

    /** Returns the runs that have asked for no new work. */
    public LeavingRuns leaving() {
        return mLeaving;
    }

    /** Returns whether an endpoint that was chosen a while ago may still get work. */
    public boolean mayGetWork(RegisteredEndpoint endpoint, Instant now) {
        forgetLapsed(now);
        return mayGetWork(endpoint.run(), now)
                && find(endpoint.id()).filter(endpoint::sameRun).isPresent();
    }

    private boolean mayGetWork(EndpointRun run, Instant now) {
        return !mLeaving.contains(run) && !mVanished.onlyInCopy(run, now);
    }

    /** Takes note that an entry has vanished, as this daemon has read itself. */
    public void remove(EndpointId id, Instant now) {
        if (mAway) {
            Optional.ofNullable(mEntries.get(id))
                    .ifPresent(e -> e.mLapsedUntil = Optional.of(Instant.MAX));
        } else {
            removeAfterGrace(id, now);
        }
    }

    /**
     * Takes note that an entry has vanished, as a peer has read that reaches the store. Whether
     * this daemon reaches it doesn't matter.
     */
    public void removeForPeer(EndpointId id, Instant now) {
        Optional.ofNullable(mEntries.get(id)).ifPresent(e -> e.mGoneForPeer = true);
        removeAfterGrace(id, now);
    }

    private void removeAfterGrace(EndpointId id, Instant now) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        Instant graceEnd = mReturnedAt.equals(Instant.MIN) ? now : mReturnedAt.plus(RETURN_GRACE);
        if (now.isBefore(graceEnd)) {
            entry.mLapsedUntil = Optional.of(graceEnd);
        } else {
            mEntries.remove(id);
            mVanished.vanished(entry.mEndpoint.run(), now);
        }
    }

    /** Returns the endpoint if it is known, whether it may get work or not. */
    public Optional<RegisteredEndpoint> find(EndpointId id) {
        return Optional.ofNullable(mEntries.get(id)).map(e -> e.mEndpoint);
    }

    /** Returns the endpoints of a service that may get work. */
    public ImmutableList<RegisteredEndpoint> usable(ServiceId service, Instant now) {
        forgetLapsed(now);
        return mEntries.values().stream()
                .map(e -> e.mEndpoint)
                .filter(e -> e.service().equals(service) && mayGetWork(e.run(), now))
                .collect(ImmutableList.toImmutableList());
    }

    private void forgetLapsed(Instant now) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            if (entry.mLapsedUntil.filter(t -> !now.isBefore(t)).isPresent()) {
                mVanished.vanished(entry.mEndpoint.run(), now);
                entries.remove();
            }
        }
    }

    private static final class Entry {
        private final RegisteredEndpoint mEndpoint;
        private Optional<Instant> mLapsedUntil = Optional.empty();
        private boolean mGoneForPeer;

        Entry(RegisteredEndpoint endpoint) {
            mEndpoint = endpoint;
        }
    }
}
