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
    public static StartupStep next(StartupState startupState, Instant now) {
        if (startupState.peerVersion().isPresent()) {
            return serveAtOrAbove(startupState.peerVersion().getAsLong(), startupState);
        }
        if (mayPeersStillAnswer(startupState, now)) {
            return StartupStep.ASK_PEERS;
        }
        if (startupState.version() == 0) {
            return StartupStep.AWAIT_VERSION;
        }
        if (startupState.engineVersion().isEmpty()) {
            return StartupStep.ASK_ENGINES;
        }
        return serveAtOrAbove(startupState.engineVersion().getAsLong(), startupState);
    }

    private static StartupStep serveAtOrAbove(long floor, StartupState startupState) {
        boolean newEnough = startupState.version() > 0 && startupState.version() >= floor;
        return newEnough ? StartupStep.SERVE : StartupStep.AWAIT_VERSION;
    }

    private static boolean mayPeersStillAnswer(StartupState startupState, Instant now) {
        Duration elapsed = Duration.between(startupState.startedAt(), now);
        if (startupState.publishedPeers().isEmpty()) {
            return elapsed.compareTo(MAX_WAIT_FOR_PEER_LIST) < 0;
        }
        return startupState.answeredPeers() < startupState.publishedPeers().getAsInt()
                && elapsed.compareTo(MAX_WAIT_FOR_PEERS) < 0;
    }
}
