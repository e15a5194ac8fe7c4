package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Trials of quarantined suspects: single requests that are sent nevertheless, to see whether they
 * still crash endpoints. The aggregator grants them, so that the fleet has one at a time.
 */
public final class QuarantineTrials {
    /** Maximum number of suspects for which a daemon asks for trials at a time. */
    private static final int MAX_WANTED = 16;

    /** Time for which a granted trial may be used. */
    private static final Duration GRANT_LIFETIME = Duration.ofMinutes(1);

    private final Set<Suspect> mWanted = new HashSet<>();
    private final Map<Suspect, Instant> mUsableUntil = new HashMap<>();
    private final Map<Suspect, Instant> mGrantedAt = new HashMap<>();

    /** Returns whether a quarantined request may be sent as a trial; asks for one if it is due. */
    public boolean tryUse(Quarantine quarantine, Instant now) {
        if (now.isBefore(quarantine.trialAt())) {
            return false;
        }
        Suspect key = key(quarantine);
        Instant usableUntil = mUsableUntil.remove(key);
        if (usableUntil != null && now.isBefore(usableUntil)) {
            return true;
        }
        if (mWanted.size() < MAX_WANTED) {
            mWanted.add(key);
        }
        return false;
    }

    private static Suspect key(Quarantine quarantine) {
        return quarantine.suspects().stream().min(Suspect::compareTo).orElseThrow();
    }

    /**
     * Returns the suspects for which trials are due and requests have arrived, and forgets them.
     */
    public ImmutableSet<Suspect> takeWanted() {
        ImmutableSet<Suspect> wanted = ImmutableSet.copyOf(mWanted);
        mWanted.clear();
        return wanted;
    }

    /** Records that the aggregator granted this daemon a trial of a suspect. */
    public void add(Suspect suspect, Instant now) {
        mUsableUntil.values().removeIf(until -> !now.isBefore(until));
        mUsableUntil.put(suspect, now.plus(GRANT_LIFETIME));
    }

    /**
     * Returns whether this daemon, as the aggregator, grants a trial of a suspect; a trial whose
     * result isn't known is repeated after the time of the first.
     */
    public boolean grant(Suspect suspect, Instant now) {
        mGrantedAt.values().removeIf(at -> !now.isBefore(at.plus(QuarantinePolicy.FIRST_TRIAL)));
        return mGrantedAt.putIfAbsent(suspect, now) == null;
    }
}
