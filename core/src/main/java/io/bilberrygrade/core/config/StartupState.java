package io.bilberrygrade.core.config;

import java.time.Instant;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Information that a starting daemon has gathered on the version in force before it started.
 *
 * @param startedAt when the daemon started
 * @param publishedPeers number of other daemons on the published list; empty before it was read
 * @param answeredPeers number of those that have answered
 * @param peerVersion highest version in force at a peer that serves; empty when none has answered
 * @param engineVersion highest fencing token that engines have seen; empty before they were asked
 * @param version highest valid version that this daemon has read; 0 before it has read any
 */
public record StartupState(
        Instant startedAt,
        OptionalInt publishedPeers,
        int answeredPeers,
        OptionalLong peerVersion,
        OptionalLong engineVersion,
        long version) {}
