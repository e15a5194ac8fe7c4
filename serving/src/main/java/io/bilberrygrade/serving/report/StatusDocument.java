package io.bilberrygrade.serving.report;

import java.util.List;
import java.util.Optional;

/** Status of a daemon at one time. Times are ISO 8601 in UTC. */
public record StatusDocument(
        String instance,
        String dataCentre,
        long incarnation,
        String startedAt,
        String at,
        boolean ready,
        boolean draining,
        int runningRequests,
        ConfigLine config,
        List<PeerLine> peers,
        List<EndpointLine> endpoints,
        List<AuditEntry> audit) {
    /** Configuration in force and the time at which it came into force on this daemon. */
    public record ConfigLine(long version, Optional<String> inForceSince) {}

    /** Entry daemon on the published list; {@code incarnation} is empty unless it is alive. */
    public record PeerLine(String instance, String state, Optional<Long> incarnation) {}

    /**
     * Endpoint of the configuration in force as this daemon sees it; the tokens of its backlog and
     * of its free KV memory are estimates.
     */
    public record EndpointLine(
            String endpoint,
            String dataCentre,
            String kind,
            boolean available,
            int ownRequests,
            long backlogTokens,
            long freeTokens) {}
}
