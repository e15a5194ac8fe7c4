package io.bilberrygrade.core.config;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a starting daemon may use the version that it has read. The configuration service
 * may be stale, so the daemon serves nothing older than the version in force at a serving peer or,
 * when no peer serves, than the highest fencing token that engines have seen.
 */
public final class StartupPolicy {
    private static final Duration MAX_WAIT_FOR_PEERS = Duration.ofSeconds(3);
    private static final Duration MAX_WAIT_FOR_PEER_LIST = Duration.ofSeconds(10);

    private StartupPolicy() {}

    /** Returns the next step of the daemon. */
    public static StartupStep next(StartupKnowledge knowledge, Instant now) {
        if (knowledge.peerVersion().isPresent()) {
            return serveAtOrAbove(knowledge.peerVersion().getAsLong(), knowledge);
        }
        if (mayPeersStillAnswer(knowledge, now)) {
            return StartupStep.ASK_PEERS;
        }
        if (knowledge.version() == 0) {
            return StartupStep.AWAIT_VERSION;
        }
        if (knowledge.engineVersion().isEmpty()) {
            return StartupStep.ASK_ENGINES;
        }
        return serveAtOrAbove(knowledge.engineVersion().getAsLong(), knowledge);
    }

    private static StartupStep serveAtOrAbove(long floor, StartupKnowledge knowledge) {
        boolean newEnough = knowledge.version() > 0 && knowledge.version() >= floor;
        return newEnough ? StartupStep.SERVE : StartupStep.AWAIT_VERSION;
    }

    private static boolean mayPeersStillAnswer(StartupKnowledge knowledge, Instant now) {
        Duration elapsed = Duration.between(knowledge.startedAt(), now);
        if (knowledge.publishedPeers().isEmpty()) {
            return elapsed.compareTo(MAX_WAIT_FOR_PEER_LIST) < 0;
        }
        return knowledge.answeredPeers() < knowledge.publishedPeers().getAsInt()
                && elapsed.compareTo(MAX_WAIT_FOR_PEERS) < 0;
    }
}
