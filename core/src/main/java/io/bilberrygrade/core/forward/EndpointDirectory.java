package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
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
    private boolean mAway;
    private Instant mReturnedAt = Instant.MIN;
    private boolean mKnown;

    /** Returns whether the endpoints were ever read whole. */
    public boolean known() {
        return mKnown;
    }

    /** States that the store can't be reached. */
    public void storeLost() {
        mAway = true;
    }

    /** States that the store answers; only the first answer after a loss matters. */
    public void storeAnswered(Instant now) {
        if (mAway) {
            mAway = false;
            mReturnedAt = now;
            Optional<Instant> graceEnd = Optional.of(now.plus(RETURN_GRACE));
            mEntries.values().stream()
                    .filter(e -> e.mLapsedUntil.isPresent())
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

    /** Takes over a whole list of entries. */
    public void replace(ImmutableList<RegisteredEndpoint> entries, Instant now) {
        ImmutableMap.Builder<EndpointId, RegisteredEndpoint> builder = ImmutableMap.builder();
        entries.forEach(e -> builder.put(e.id(), e));
        ImmutableMap<EndpointId, RegisteredEndpoint> read = builder.buildKeepingLast();
        ImmutableList.copyOf(mEntries.keySet()).stream()
                .filter(id -> !read.containsKey(id))
                .forEach(id -> remove(id, now));
        read.values().forEach(e -> put(e, now));
        mKnown = true;
    }

    /** Takes over one entry. A run that asked for no new work once gets none any more. */
    public void put(RegisteredEndpoint entry, Instant now) {
        if (entry.leaving()) {
            mLeaving.add(entry.run(), now);
        }
        mEntries.put(entry.id(), new Entry(entry));
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
        return !mLeaving.contains(endpoint.run())
                && find(endpoint.id()).filter(endpoint::sameRun).isPresent();
    }

    /** Takes note that an entry has vanished. */
    public void remove(EndpointId id, Instant now) {
        Entry entry = mEntries.get(id);
        if (entry == null) {
            return;
        }
        Instant graceEnd = mReturnedAt.equals(Instant.MIN) ? now : mReturnedAt.plus(RETURN_GRACE);
        if (mAway || now.isBefore(graceEnd)) {
            entry.mLapsedUntil = Optional.of(mAway ? Instant.MAX : graceEnd);
        } else {
            mEntries.remove(id);
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
                .filter(e -> e.service().equals(service) && !mLeaving.contains(e.run()))
                .collect(ImmutableList.toImmutableList());
    }

    private void forgetLapsed(Instant now) {
        mEntries.values().removeIf(e -> e.mLapsedUntil.filter(t -> !now.isBefore(t)).isPresent());
    }

    private static final class Entry {
        private final RegisteredEndpoint mEndpoint;
        private Optional<Instant> mLapsedUntil = Optional.empty();

        Entry(RegisteredEndpoint endpoint) {
            mEndpoint = endpoint;
        }
    }
}
