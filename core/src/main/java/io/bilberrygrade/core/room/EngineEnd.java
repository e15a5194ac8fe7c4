package io.bilberrygrade.core.room;

import io.bilberrygrade.core.forward.RegisteredEndpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether the engine of a request has ended, so that what the request holds on other
 * engines can be released. The load is prompts over one engine's memory, whose engine goes dark:
 * nothing comes of it, no reset either, and its entry expires.
 */
public final class EngineEnd {
    /**
     * Time for which an engine without an entry has sent nothing when it counts as ended. Engines
     * at work pause for less than 400 ms between events of their streams.
     */
    static final Duration MAX_SILENCE = Duration.ofSeconds(1);

    private EngineEnd() {}

    /**
     * Returns whether the run has ended: a newer one is registered, or the entry was removed and
     * nothing has come of the run since. A run that has announced that it leaves may finish its
     * requests after its entry was removed, and then closes their connections.
     *
     * @param registered the entry that the run's endpoint has now
     * @param leaving whether the run has announced that it leaves
     * @param lastSignAt when the run last sent anything, or got the request
     */
    public static boolean hasEnded(
            RegisteredEndpoint run,
            Optional<RegisteredEndpoint> registered,
            boolean leaving,
            Instant lastSignAt,
            Instant now) {
        return registered
                .map(r -> supersedes(r, run))
                .orElseGet(() -> !leaving && !now.isBefore(lastSignAt.plus(MAX_SILENCE)));
    }

    private static boolean supersedes(RegisteredEndpoint entry, RegisteredEndpoint run) {
        return entry.startedAtMillis() > run.startedAtMillis();
    }
}
