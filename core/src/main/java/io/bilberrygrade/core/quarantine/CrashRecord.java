package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.PromptPart;
import java.time.Instant;

/**
 * Crash of an endpoint, with the shared prompt parts of the requests that it was running. Daemons
 * that saw the same crash have different requests at the endpoint, so their records are merged.
 *
 * @param at when the crash was first known here
 * @param begun parts of requests whose answers had just begun
 * @param waiting parts of requests that the endpoint had received and not begun to answer
 * @param cleared parts with which a request has been answered since
 */
public record CrashRecord(
        EndpointRun run,
        Instant at,
        ImmutableSet<PromptPart> begun,
        ImmutableSet<PromptPart> waiting,
        ImmutableSet<PromptPart> cleared) {
    /**
     * Maximum number of parts of each kind; an endpoint runs some ten requests with a few parts.
     */
    static final int MAX_PARTS = 32;

    /** Creates a record; parts beyond the maximum are left out. */
    public CrashRecord {
        begun = limited(begun);
        waiting = limited(waiting);
        cleared = cleared.size() > 2 * MAX_PARTS ? limited(cleared) : cleared;
    }

    private static ImmutableSet<PromptPart> limited(ImmutableSet<PromptPart> parts) {
        return parts.size() <= MAX_PARTS
                ? parts
                : parts.stream().sorted().limit(MAX_PARTS).collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the parts of which one may have caused the crash. Requests that had only been
     * received are considered if none of those that had begun can be the cause.
     */
    public ImmutableSet<PromptPart> suspects() {
        ImmutableSet<PromptPart> first = Sets.difference(begun, cleared).immutableCopy();
        return first.isEmpty() ? Sets.difference(waiting, cleared).immutableCopy() : first;
    }

    /** Returns whether an answer had just begun with one of the suspects. */
    boolean isStrong() {
        return !Sets.difference(begun, cleared).isEmpty();
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

    /** Returns this record without suspicion of some parts. */
    CrashRecord clear(ImmutableSet<PromptPart> parts) {
        ImmutableSet<PromptPart> suspected = Sets.intersection(parts, suspects()).immutableCopy();
        return new CrashRecord(run, at, begun, waiting, union(cleared, suspected));
    }

    private static ImmutableSet<PromptPart> union(
            ImmutableSet<PromptPart> a, ImmutableSet<PromptPart> b) {
        return a.containsAll(b) ? a : Sets.union(a, b).immutableCopy();
    }
}
