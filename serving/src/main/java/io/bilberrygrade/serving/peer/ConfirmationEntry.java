package io.bilberrygrade.serving.peer;

/**
 * What a daemon says of its last linearizable read of the published configuration.
 *
 * @param configRevision revision of the configuration that was found to be the newest
 * @param storeRevision the store's revision at that time
 * @param ageMillis time since the read was sent, when this was written
 */
public record ConfirmationEntry(long configRevision, long storeRevision, long ageMillis) {}
