package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
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
    private static final int BEGUN_WEIGHT = 3;

    /** Weight of a crash for a suspect with which requests had only been received. */
    private static final int WAITING_WEIGHT = 2;

    /** Weight from which a request is quarantined: two crashes as it began to be answered. */
    private static final int MIN_WEIGHT = 6;

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
     * @param completeUntil time of the last crashes of which all daemons have had time to report
     *     what they had at the endpoint; of later ones, requests that had only been received aren't
     *     suspected, since another daemon may have had one that had begun
     */
    public static Optional<Quarantine> of(
            ImmutableSet<Suspect> suspects,
            ImmutableList<CrashRecord> records,
            Instant completeUntil) {
        if (records.isEmpty() || suspects.isEmpty()) {
            return Optional.empty();
        }
        ImmutableList<CrashRecord> counted =
                records.stream()
                        .filter(r -> r.isStrong() || !r.at().isAfter(completeUntil))
                        .collect(ImmutableList.toImmutableList());
        return suspects.stream()
                .flatMap(s -> of(s, suspects, counted).stream())
                .max(Comparator.comparing(Quarantine::trialAt));
    }

    private static Optional<Quarantine> of(
            Suspect suspect, ImmutableSet<Suspect> suspects, ImmutableList<CrashRecord> records) {
        ImmutableList<CrashRecord> crashes =
                records.stream()
                        .filter(r -> r.suspects().contains(suspect))
                        .collect(ImmutableList.toImmutableList());
        if (crashes.isEmpty()) {
            return Optional.empty();
        }
        ImmutableSet<Suspect> always = crashes.getFirst().suspects();
        for (CrashRecord crash : crashes) {
            always = Sets.intersection(always, crash.suspects()).immutableCopy();
        }
        Tally tally = tally(crashes);
        return tally.weight() >= MIN_WEIGHT && suspects.containsAll(always)
                ? Optional.of(new Quarantine(always, tally.groups(), trialAt(crashes)))
                : Optional.empty();
    }

    /** Adds up the weights of crashes; of those with the same cause only the first counts. */
    private static Tally tally(ImmutableList<CrashRecord> crashes) {
        int weight = 0;
        int groups = 0;
        Instant groupEnd = Instant.MIN;
        for (CrashRecord crash : crashes) {
            if (crash.at().isAfter(groupEnd)) {
                groups++;
                weight += crash.isStrong() ? BEGUN_WEIGHT : WAITING_WEIGHT;
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

    private record Tally(int weight, int groups) {}
}
