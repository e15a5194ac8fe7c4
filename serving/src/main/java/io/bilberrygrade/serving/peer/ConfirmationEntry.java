package io.bilberrygrade.serving.peer;

/**
 * What a daemon says of its last linearizable read of the published configuration.
 *
 * @param configVersion version of the configuration that was found to be the newest
 * @param storeEra the store's era at that time; 0 from daemons that don't know of eras
 * @param storeRevision the store's revision at that time
 * @param ageMillis time since the read was sent, when this was written
 */
public record ConfirmationEntry(
        long configVersion, long storeEra, long storeRevision, long ageMillis) {}
