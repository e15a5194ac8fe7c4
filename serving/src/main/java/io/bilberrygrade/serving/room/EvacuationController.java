package io.bilberrygrade.serving.room;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointDirectory;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.Identifier;
import io.bilberrygrade.core.room.EvacuatedDataCentres;
import io.bilberrygrade.core.room.EvacuatedDataCentres.Mark;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RoomEvent;
import io.bilberrygrade.serving.time.Timers;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Applies the marks of evacuated data centres that the store and peers report, and relays them to
 * peers. A mark that is missing after the store was restored from an older copy is kept until a
 * read after the operator's time to write it again.
 */
public final class EvacuationController {
    /**
     * Time for which a change is included in all answers to peers, whatever position they have
     * reached; slow ones ask every 1.2 s.
     */
    private static final Duration SHARE_TIME = Duration.ofSeconds(4);

    /** Maximum number of entries in an answer, to bound its size. */
    private static final int MAX_SENT = 256;

    /**
     * Time after the operator's time to write marks again until a read counts: the read may have
     * been sent 0.9 s before its answer, the time limit of a call to the store.
     */
    private static final Duration MAX_READ_TIME = Duration.ofSeconds(1);

    private static final Duration KEPT_TIME = EndpointDirectory.RETURN_GRACE.plus(MAX_READ_TIME);

    private static final String MARKED = "marked";
    private static final String WITHDRAWN = "withdrawn";
    private static final String KEPT = "kept";

    private final EndpointDirectory mDirectory;
    private final EvacuatedDataCentres mMarks;
    private final InstantSource mClock;
    private final LongSupplier mEra;
    private final Timers mTimers;
    private final EventLog mEvents;
    private Runnable mReread = () -> {};
    private boolean mEnabled;
    private boolean mRereadScheduled;

    /**
     * Creates the controller of the marks that a directory applies.
     *
     * @param era returns the current era of the store
     */
    public EvacuationController(
            EndpointDirectory directory,
            InstantSource clock,
            LongSupplier era,
            Timers timers,
            EventLog events) {
        mDirectory = directory;
        mMarks = directory.evacuated();
        mClock = clock;
        mEra = era;
        mTimers = timers;
        mEvents = events;
    }

    /**
     * Enables the relay of marks.
     *
     * @param reread reads the store completely, as soon as no read is in flight
     */
    public void enable(Runnable reread) {
        mEnabled = true;
        mReread = reread;
    }

    /** Applies a change that the watch returned. */
    public void onChange(DataCentreId dataCentre, StorePosition at, boolean marked) {
        record(dataCentre, at, marked, "watch");
    }

    /** Applies a complete read; empty if the answer doesn't cover the marks. */
    public void onRead(Optional<ImmutableMap<DataCentreId, StorePosition>> read, StorePosition at) {
        read.ifPresent(r -> applyRead(r, at));
    }

    private void applyRead(ImmutableMap<DataCentreId, StorePosition> read, StorePosition at) {
        Instant now = mClock.instant();
        boolean mayLackMarks = now.isBefore(keptUntil());
        EvacuatedDataCentres.ReadResult result = mMarks.recordRead(read, at, mayLackMarks, now);
        result.changed().forEach(m -> log(m, m.marked() ? MARKED : WITHDRAWN, "list", now));
        result.kept().forEach(m -> log(m, KEPT, "list", now));
        scheduleReread(now);
    }

    private Instant keptUntil() {
        Instant returnedAt = mDirectory.storeReturnedAt();
        return returnedAt.equals(Instant.MIN) ? returnedAt : returnedAt.plus(KEPT_TIME);
    }

    /** Reads the store again when the marks of an earlier era may end. */
    private void scheduleReread(Instant now) {
        if (mRereadScheduled || !mMarks.hasMarksBefore(mEra.getAsLong())) {
            return;
        }
        mRereadScheduled = true;
        Instant next = now.plus(MAX_READ_TIME);
        Instant due = keptUntil().isAfter(next) ? keptUntil() : next;
        mTimers.after(Duration.between(now, due))
                .subscribe()
                .with(
                        v -> {
                            mRereadScheduled = false;
                            mReread.run();
                            scheduleReread(mClock.instant());
                        });
    }

    /**
     * Returns the entries for a peer that has read the store up to a position: later ones, recent
     * ones, and marks of earlier eras, which a store restored from an older copy may lack. Null if
     * this deployment has no marks.
     */
    public List<EvacuationEntry> entriesAfter(StorePosition position) {
        if (!mEnabled) {
            return null;
        }
        Instant recent = mClock.instant().minus(SHARE_TIME);
        long era = mEra.getAsLong();
        return mMarks.all().stream()
                .filter(
                        m ->
                                position.isBefore(m.at())
                                        || m.since().isAfter(recent)
                                        || (m.marked() && m.at().era() < era))
                .limit(MAX_SENT)
                .map(EvacuationController::encode)
                .collect(ImmutableList.toImmutableList());
    }

    private static EvacuationEntry encode(Mark m) {
        return new EvacuationEntry(
                m.dataCentre().value(), m.at().era(), m.at().revision(), m.marked());
    }

    /** Applies the entries of a peer; null if the peer sent none. */
    public void onPeerEntries(List<EvacuationEntry> entries, String peer) {
        if (!mEnabled || entries == null) {
            return;
        }
        entries.stream()
                .filter(Objects::nonNull)
                .forEach(
                        e ->
                                Identifier.tryCreate(e.dataCentre(), DataCentreId::new)
                                        .ifPresent(
                                                id ->
                                                        record(
                                                                id,
                                                                new StorePosition(
                                                                        e.era(), e.revision()),
                                                                e.marked(),
                                                                peer)));
        scheduleReread(mClock.instant());
    }

    /**
     * Returns whether a peer that sent the given entries can replace this instance's own watch. A
     * peer of an earlier version relays endpoints only.
     */
    public boolean isRelayedWith(List<EvacuationEntry> entries) {
        return !mEnabled || entries != null;
    }

    private void record(DataCentreId dataCentre, StorePosition at, boolean marked, String source) {
        Instant now = mClock.instant();
        Instant since = mMarks.find(dataCentre).map(Mark::since).orElse(now);
        if (mMarks.record(dataCentre, at, marked, now)) {
            log(new Mark(dataCentre, at, marked, since), marked ? MARKED : WITHDRAWN, source, now);
        }
    }

    private void log(Mark mark, String change, String source, Instant now) {
        mEvents.record(
                new RoomEvent.DataCentreEvacuation(
                        mark.dataCentre().value(),
                        change,
                        mark.at().era(),
                        mark.at().revision(),
                        Duration.between(mark.since(), now).toMillis(),
                        source));
    }
}
