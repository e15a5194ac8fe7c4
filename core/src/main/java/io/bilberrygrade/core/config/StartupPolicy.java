package io.bilberrygrade.core.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a starting daemon may trust the version that it has read. The service may be stale,
 * so the daemon serves nothing below the version that a serving peer has in force or, when no peer
 * serves, below the highest fencing token that engines have seen.
 */
public final class StartupPolicy {
    private static final Duration MAX_WAIT_FOR_PEERS = Duration.ofSeconds(3);
    private static final Duration MAX_WAIT_FOR_LIST = Duration.ofSeconds(10);

    private StartupPolicy() {}

    /** Returns what the daemon has to do next. */
    public static StartupStep next(StartupKnowledge knowledge, Instant now) {
        if (knowledge.peerVersion().isPresent()) {
            return serveFrom(knowledge.peerVersion().getAsLong(), knowledge);
        }
        if (mayStillAnswer(knowledge, now)) {
            return StartupStep.ASK_PEERS;
        }
        if (knowledge.version() == 0) {
            return StartupStep.AWAIT_VERSION;
        }
        if (knowledge.engineVersion().isEmpty()) {
            return StartupStep.ASK_ENGINES;
        }
        return serveFrom(knowledge.engineVersion().getAsLong(), knowledge);
    }

    private static StartupStep serveFrom(long floor, StartupKnowledge knowledge) {
        boolean newEnough = knowledge.version() > 0 && knowledge.version() >= floor;
        return newEnough ? StartupStep.SERVE : StartupStep.AWAIT_VERSION;
    }

    private static boolean mayStillAnswer(StartupKnowledge knowledge, Instant now) {
        Duration elapsed = Duration.between(knowledge.startedAt(), now);
        if (knowledge.publishedPeers().isEmpty()) {
            return elapsed.compareTo(MAX_WAIT_FOR_LIST) < 0;
        }
        return knowledge.answeredPeers() < knowledge.publishedPeers().getAsInt()
                && elapsed.compareTo(MAX_WAIT_FOR_PEERS) < 0;
    }
}
