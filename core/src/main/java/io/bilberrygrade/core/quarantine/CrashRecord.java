package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointRun;
import java.time.Instant;
import java.util.Collections;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Crash of an endpoint, with the suspects that the requests that it was running hold. Daemons that
 * saw the same crash have different requests at the endpoint, so their records are merged.
 *
 * @param at when the crash was first known here
 * @param begun suspects of requests whose answers had just begun, without the cleared ones
 * @param waiting suspects of requests that the endpoint had received and not begun to answer,
 *     without the cleared ones
 * @param cleared suspects with which a request has been answered since
 */
public record CrashRecord(
        EndpointRun run,
        Instant at,
        ImmutableSet<Suspect> begun,
        ImmutableSet<Suspect> waiting,
        ImmutableSet<Suspect> cleared) {
    /**
     * Maximum number of parts of prompts; an endpoint runs some ten requests, with some hundred
     * parts each at most.
     */
    static final int MAX_PARTS = 4_096;

    /** Maximum number of requests, those that an endpoint runs and those that it queues. */
    static final int MAX_REQUESTS = 48;

    /** Creates a record; suspects beyond the maximum are left out. */
    public CrashRecord {
        cleared = limited(cleared, 2);
        begun = limited(without(begun, cleared), 1);
        waiting = limited(without(waiting, cleared), 1);
    }

    private static ImmutableSet<Suspect> without(
            ImmutableSet<Suspect> suspects, Set<Suspect> cleared) {
        return Collections.disjoint(suspects, cleared)
                ? suspects
                : Sets.difference(suspects, cleared).immutableCopy();
    }

    private static ImmutableSet<Suspect> limited(ImmutableSet<Suspect> suspects, int factor) {
        if (suspects.size() <= factor * MAX_REQUESTS) {
            return suspects;
        }
        return Stream.concat(
                        smallest(suspects, Suspect::isRequest, factor * MAX_REQUESTS),
                        smallest(suspects, s -> !s.isRequest(), factor * MAX_PARTS))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Daemons that merge the same suspects in another order keep the same ones. */
    private static Stream<Suspect> smallest(
            ImmutableSet<Suspect> suspects, Predicate<Suspect> kind, int max) {
        return suspects.stream().filter(kind).sorted().limit(max);
    }

    /**
     * Returns whether suspects may have been left out, so that the one that is the cause may be
     * missing.
     */
    public boolean isCut() {
        return begun.size() >= MAX_PARTS || waiting.size() >= MAX_PARTS;
    }

    /** Returns whether another record says the same, whenever its daemon got to know of it. */
    public boolean isEquivalentTo(CrashRecord other) {
        return run.equals(other.run)
                && begun.equals(other.begun)
                && waiting.equals(other.waiting)
                && cleared.equals(other.cleared);
    }

    /** Returns this record without suspects that are known to be harmless. */
    public CrashRecord without(Set<Suspect> harmless) {
        return new CrashRecord(
                run, at, without(begun, harmless), without(waiting, harmless), cleared);
    }

    /**
     * Returns what may have caused the crash. Requests that had only been received are considered
     * if none of those that had begun can be the cause.
     */
    public ImmutableSet<Suspect> suspects() {
        return begun.isEmpty() ? waiting : begun;
    }

    /** Returns whether an answer had just begun with one of the suspects. */
    boolean isStrong() {
        return !begun.isEmpty();
    }

    /** Returns this record with what another record of the same crash adds. */
    CrashRecord merge(CrashRecord other) {
        return new CrashRecord(
                run,
                at,
                union(begun, other.begun),
                union(waiting, other.waiting),
                union(cleared, other.cleared));
    }

    /** Returns this record with some suspects cleared. */
    CrashRecord clear(ImmutableSet<Suspect> suspects) {
        ImmutableSet<Suspect> suspected = Sets.intersection(suspects, suspects()).immutableCopy();
        return new CrashRecord(run, at, begun, waiting, union(cleared, suspected));
    }

    private static ImmutableSet<Suspect> union(ImmutableSet<Suspect> a, ImmutableSet<Suspect> b) {
        return a.containsAll(b) ? a : Sets.union(a, b).immutableCopy();
    }
}
