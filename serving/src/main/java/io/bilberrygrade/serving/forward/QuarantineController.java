package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.exchange.ExchangeInterval;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.quarantine.CrashEvidence;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Quarantine;
import io.bilberrygrade.core.quarantine.QuarantinePolicy;
import io.bilberrygrade.core.quarantine.QuarantineTrials;
import io.bilberrygrade.core.quarantine.Reports;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.ShortList;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Keeps the crashes of endpoints that requests may have caused, and decides by them which requests
 * are sent to no endpoint. Attempts that are quarantined while they wait at an endpoint are
 * cancelled, before they crash it.
 */
final class QuarantineController {
    /** Maximum time within which daemons report what they had at a crashed endpoint. */
    private static final Duration MAX_REPORT_TIME = Duration.ofMillis(1_500);

    /** Time for which an answer speaks for its suspects. */
    private static final Duration ANSWER_LIFETIME = Duration.ofSeconds(10);

    /** Maximum number of answered suspects that are remembered while crashes are known. */
    private static final int MAX_ANSWERED_SUSPECTS = 8_192;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final CrashEvidence mEvidence = new CrashEvidence();
    private final QuarantineTrials mTrials = new QuarantineTrials();
    private final Set<Quarantinable> mInFlight = new LinkedHashSet<>();

    /** Those that were answered longest ago are forgotten first. */
    private final Map<Suspect, Instant> mAnsweredAt =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Suspect, Instant> eldest) {
                    return size() > MAX_ANSWERED_SUSPECTS;
                }
            };

    private final FleetView mFleet;
    private final EventLog mEvents;
    private Runnable mOnNews = () -> {};
    private Instant mExchangedAt = Instant.MIN;

    QuarantineController(FleetView fleet, EventLog events) {
        mFleet = fleet;
        mEvents = events;
    }

    /** Registers an action to run when this daemon has learnt something that peers don't know. */
    void onNews(Runnable action) {
        mOnNews = action;
    }

    CrashEvidence evidence() {
        return mEvidence;
    }

    QuarantineTrials trials() {
        return mTrials;
    }

    /**
     * Returns why a request must not be sent, if that is so. Its suspects are determined only if
     * crashes are known.
     */
    Optional<Quarantine> of(Supplier<ImmutableSet<Suspect>> suspects, Instant now) {
        return mEvidence.isEmpty()
                ? Optional.empty()
                : QuarantinePolicy.of(suspects.get(), mEvidence.records(), reports(now));
    }

    /** Records that this daemon has what the aggregator knows. */
    void recordExchanged(Instant now) {
        mExchangedAt = now;
    }

    /**
     * Returns how far others have reported what they had at crashed endpoints. Daemons that are out
     * of reach can't report; what this daemon and those in reach have seen binds them nevertheless.
     */
    private Reports reports(Instant now) {
        int peak = mFleet.peakSize(now);
        int size = mFleet.size(now);
        if (peak == 1) {
            return new Reports(now, true);
        }
        boolean byMost = 2 * size >= peak;
        Duration rounds = ExchangeInterval.nextInterval(size, true).multipliedBy(2);
        Duration reportTime = rounds.compareTo(MAX_REPORT_TIME) < 0 ? rounds : MAX_REPORT_TIME;
        return mExchangedAt.equals(Instant.MIN)
                ? Reports.none(byMost)
                : new Reports(mExchangedAt.minus(reportTime), byMost);
    }

    /** Starts watching an attempt, which is cancelled if it becomes quarantined. */
    void watch(Quarantinable attempt) {
        mInFlight.add(attempt);
    }

    /** Stops watching an attempt. */
    void unwatch(Quarantinable attempt) {
        mInFlight.remove(attempt);
    }

    /** Records a crash that this daemon has observed. */
    void recordCrash(CrashRecord record, Instant now) {
        Set<Suspect> harmless = recentlyAnswered(now);
        if (add(record.without(harmless), "self")) {
            mEvidence.clear(harmless);
            cancelQuarantined(now);
            mOnNews.run();
        }
    }

    /**
     * Records that a request is answered. Its suspects are determined only if crashes are known.
     */
    void recordAnswered(Supplier<ImmutableSet<Suspect>> suspects, Instant now) {
        if (!mEvidence.isEmpty()) {
            ImmutableSet<Suspect> answered = suspects.get();
            answered.forEach(s -> mAnsweredAt.put(s, now));
            mEvidence.clear(answered);
        }
    }

    /** Returns the suspects of answers that this daemon relayed shortly before. */
    private Set<Suspect> recentlyAnswered(Instant now) {
        mAnsweredAt.values().removeIf(at -> at.plus(ANSWER_LIFETIME).isBefore(now));
        return mAnsweredAt.keySet();
    }

    /** Adds what a peer knows. */
    void merge(ImmutableList<CrashRecord> records, String source, Instant now) {
        mEvidence.removeOld(now);
        boolean changed = false;
        for (CrashRecord record : records) {
            changed |= add(record, source);
        }
        if (changed) {
            mEvidence.clear(recentlyAnswered(now));
            cancelQuarantined(now);
        }
    }

    private boolean add(CrashRecord record, String source) {
        boolean isNew = mEvidence.find(record.run(), record.at()).isEmpty();
        boolean changed = mEvidence.merge(record);
        if (changed && isNew) {
            mEvents.record(
                    new ForwardEvent.EndpointCrashed(
                            record.run().id().value(),
                            ShortList.of(record.begun()),
                            ShortList.of(record.waiting()),
                            source));
        }
        if (changed
                && mEvidence
                        .find(record.run(), record.at())
                        .filter(CrashRecord::isCut)
                        .isPresent()) {
            mEvents.record(new ForwardEvent.CrashEvidenceCut(record.run().id().value(), source));
        }
        return changed;
    }

    private void cancelQuarantined(Instant now) {
        ImmutableList.copyOf(mInFlight).stream()
                .filter(a -> a.mayCrashEndpoint() && of(a::suspects, now).isPresent())
                .forEach(Quarantinable::cancelQuarantined);
    }

    /** Attempt in flight that may become quarantined. */
    interface Quarantinable {
        ImmutableSet<Suspect> suspects();

        /** Returns whether the endpoint has not begun to send the answer's content. */
        boolean mayCrashEndpoint();

        /** Ends the attempt before it crashes its endpoint. */
        void cancelQuarantined();
    }
}
