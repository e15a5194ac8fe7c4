package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides which requests would crash the endpoint that starts to answer them.
 *
 * <p>Each crash counts against all suspects that may have caused it. Others that were at all of a
 * suspect's crashes explain them as well as it does, so only requests that hold all of them are
 * quarantined. Sound requests share some of them; their answers clear what they hold.
 */
public final class QuarantinePolicy {
    /** Weight of a crash for a suspect with which an answer had just begun. */
    private static final int BEGUN_WEIGHT = 6;

    /** Weight of a crash for a suspect with which requests had only been received. */
    private static final int WAITING_WEIGHT = 4;

    /** Weight of such a crash for a part of prompts while most daemons are out of reach. */
    private static final int UNCONFIRMED_WEIGHT = 2;

    /** Weight from which a request is quarantined: two crashes as it began to be answered. */
    private static final int MIN_WEIGHT = 12;

    /** Time within which crashes count as one, such as those of a rack that loses power. */
    private static final Duration SAME_CAUSE = Duration.ofMillis(50);

    /** Time after the last crash until the first trial. */
    static final Duration FIRST_TRIAL = Duration.ofMinutes(5);

    /** Factor by which the time until the next trial grows with each failed one. */
    private static final int TRIAL_FACTOR = 4;

    private static final Duration MAX_TRIAL_DELAY = Duration.ofHours(6);

    /** Time without a crash after which the next one is that of a trial. */
    private static final Duration TRIAL_GAP = Duration.ofMinutes(2);

    private QuarantinePolicy() {}

    /**
     * Returns whether a request with the given suspects must not be sent, and why.
     *
     * @param records known crashes, earliest first
     * @param reports which crashes all daemons have reported on; at later ones, requests that had
     *     only been received aren't suspected, since another daemon may have had one that had begun
     */
    public static Optional<Quarantine> of(
            ImmutableSet<Suspect> suspects, ImmutableList<CrashRecord> records, Reports reports) {
        if (records.isEmpty() || suspects.isEmpty()) {
            return Optional.empty();
        }
        // Suspects that were at the same crashes lead to the same decision.
        return suspects.stream()
                .map(s -> new Involvement(crashes(s, records, reports), waitingWeight(s, reports)))
                .distinct()
                .flatMap(i -> of(i, suspects, records).stream())
                .max(Comparator.comparing(Quarantine::trialAt));
    }

    /** Returns the numbers of the crashes that count against a suspect. */
    private static BitSet crashes(
            Suspect suspect, ImmutableList<CrashRecord> records, Reports reports) {
        Instant until = isUnconfirmed(suspect, reports) ? reports.clearedUntil() : reports.until();
        BitSet crashes = new BitSet(records.size());
        for (int i = 0; i < records.size(); i++) {
            CrashRecord record = records.get(i);
            if (record.suspects().contains(suspect)
                    && (record.isStrong() || !record.at().isAfter(until))) {
                crashes.set(i);
            }
        }
        return crashes;
    }

    private static Optional<Quarantine> of(
            Involvement involvement,
            ImmutableSet<Suspect> suspects,
            ImmutableList<CrashRecord> records) {
        ImmutableList<CrashRecord> crashes =
                involvement.crashes().stream()
                        .mapToObj(records::get)
                        .collect(ImmutableList.toImmutableList());
        Tally tally = tally(crashes, involvement.waitingWeight());
        if (tally.weight() < MIN_WEIGHT) {
            return Optional.empty();
        }
        ImmutableSet<Suspect> always = crashes.getFirst().suspects();
        for (CrashRecord crash : crashes) {
            always = Sets.intersection(always, crash.suspects()).immutableCopy();
        }
        return suspects.containsAll(always)
                ? Optional.of(new Quarantine(always, tally.groups(), trialAt(crashes)))
                : Optional.empty();
    }

    /**
     * Returns whether a suspect may be blamed for what a daemon out of reach had at an endpoint. A
     * request that comes back only to be at another crash is no accident.
     */
    private static boolean isUnconfirmed(Suspect suspect, Reports reports) {
        return !suspect.isRequest() && !reports.byMost();
    }

    private static int waitingWeight(Suspect suspect, Reports reports) {
        return isUnconfirmed(suspect, reports) ? UNCONFIRMED_WEIGHT : WAITING_WEIGHT;
    }

    /** Adds up the weights of crashes; of those with the same cause only the first counts. */
    private static Tally tally(ImmutableList<CrashRecord> crashes, int waitingWeight) {
        int weight = 0;
        int groups = 0;
        Instant groupEnd = Instant.MIN;
        for (CrashRecord crash : crashes) {
            if (crash.at().isAfter(groupEnd)) {
                groups++;
                weight += crash.isStrong() ? BEGUN_WEIGHT : waitingWeight;
                groupEnd = crash.at().plus(SAME_CAUSE);
            }
        }
        return new Tally(weight, groups);
    }

    private static Instant trialAt(ImmutableList<CrashRecord> crashes) {
        Duration delay = FIRST_TRIAL;
        for (int i = 1; i < crashes.size(); i++) {
            Instant before = crashes.get(i - 1).at();
            if (before.plus(TRIAL_GAP).isBefore(crashes.get(i).at())
                    && delay.compareTo(MAX_TRIAL_DELAY) < 0) {
                delay = delay.multipliedBy(TRIAL_FACTOR);
            }
        }
        Duration bounded = delay.compareTo(MAX_TRIAL_DELAY) < 0 ? delay : MAX_TRIAL_DELAY;
        return crashes.getLast().at().plus(bounded);
    }

    /** The crashes that count against a suspect, by their numbers, and what each weighs. */
    private record Involvement(BitSet crashes, int waitingWeight) {}

    private record Tally(int weight, int groups) {}
}
