package io.bilberrygrade.serving.peer;

import java.util.List;

/**
 * Changes of the endpoints that a daemon has read from the store after the requested revision.
 *
 * @param era the store's era in which they were read
 * @param revision the store's revision up to which the changes are complete
 * @param returnedAgoMillis time since the store became available again after an outage; negative if
 *     that is long ago
 */
public record StoreChanges(
        long era, long revision, long returnedAgoMillis, List<EndpointChangeEntry> changes) {}
