package io.bilberrygrade.serving.peer;

import java.util.List;

/**
 * What a daemon has read of the endpoints in the store after the revision that it was asked for.
 *
 * @param era the store's era in which they were read
 * @param revision the store's revision up to which the changes go
 * @param returnedAgoMillis time since the store answered again after it had been away; negative if
 *     that is long ago
 */
public record StoreChanges(
        long era, long revision, long returnedAgoMillis, List<EndpointChangeEntry> changes) {}
