package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableMap;
import java.util.Collections;
import java.util.Map;

/** What the first event of a request waited for at the engine that decodes it. */
final class FirstEventDelay {
    private double mAdmissionMillis;
    private double mLongPrefillMillis;
    private double mShortPrefillMillis;

    /** Records the wait for a slot and the engine's prefill totals when the slot became free. */
    void onAdmitted(double waitedMillis, double longPrefillMillis, double shortPrefillMillis) {
        mAdmissionMillis = waitedMillis;
        mLongPrefillMillis = -longPrefillMillis;
        mShortPrefillMillis = -shortPrefillMillis;
    }

    /** Records the engine's prefill totals at the first event, less the request's own prefill. */
    void onFirstEvent(double longPrefillMillis, double shortPrefillMillis) {
        mLongPrefillMillis += longPrefillMillis;
        mShortPrefillMillis += shortPrefillMillis;
    }

    /** Returns the cause with the largest share of a delay in milliseconds. */
    LateCause cause(double delayMillis) {
        ImmutableMap<LateCause, Double> shares =
                ImmutableMap.of(
                        LateCause.SLOT,
                        mAdmissionMillis,
                        LateCause.LONG_PREFILL,
                        mLongPrefillMillis,
                        LateCause.SHORT_PREFILL,
                        mShortPrefillMillis,
                        LateCause.PASSES,
                        delayMillis - mAdmissionMillis - mLongPrefillMillis - mShortPrefillMillis);
        return Collections.max(shares.entrySet(), Map.Entry.comparingByValue()).getKey();
    }
}
