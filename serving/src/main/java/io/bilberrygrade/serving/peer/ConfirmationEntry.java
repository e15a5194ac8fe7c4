package io.bilberrygrade.serving.peer;

/**
 * Result of a daemon's last linearizable read of the published configuration.
 *
 * @param configVersion newest configuration version that the read returned
 * @param storeEra the store's era at the time of the read; 0 from daemons that don't support eras
 * @param storeRevision the store's revision at the time of the read
 * @param ageMillis time from sending the read to writing this entry
 */
public record ConfirmationEntry(
        long configVersion, long storeEra, long storeRevision, long ageMillis) {}
