package io.bilberrygrade.standins.engine;

import io.bilberrygrade.standins.control.Faults;

/**
 * Fault switches of the engine. {@code cutStreams} acts once; {@code slowFactor} divides the speed
 * of prefill and decode; 0 and 1 leave it unchanged.
 */
public record EngineFaults(
        boolean dieNow,
        long freezeMillis,
        long slowMillis,
        boolean down,
        boolean cutStreams,
        boolean leaving,
        long loadLagMillis,
        int cacheEventLossPercent,
        long cacheEventDelayMillis,
        boolean ignoreFencing,
        double slowFactor)
        implements Faults {
    /** Returns the switches of a healthy engine with the given lag of its load report. */
    public static EngineFaults none(long loadLagMillis) {
        return new EngineFaults(false, 0, 0, false, false, false, loadLagMillis, 0, 0, false, 1);
    }

    /** Returns the same switches with {@code cutStreams} reset. */
    public EngineFaults withCutStreamsReset() {
        return new EngineFaults(
                dieNow,
                freezeMillis,
                slowMillis,
                down,
                false,
                leaving,
                loadLagMillis,
                cacheEventLossPercent,
                cacheEventDelayMillis,
                ignoreFencing,
                slowFactor);
    }
}
