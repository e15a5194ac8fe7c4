package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Owns the settings of a running daemon. Those that no open port or connection hangs on change at
 * once when they are read again; the others wait for the next start, since changing them would
 * break off what runs.
 */
final class SettingsInForce {
    private ForwardSettings mSettings;

    SettingsInForce(ForwardSettings settings) {
        mSettings = settings;
    }

    ForwardSettings get() {
        return mSettings;
    }

    /** Takes over what may change now, and says what that is and what has to wait. */
    Change replace(ForwardSettings newer) {
        ForwardSettings old = mSettings;
        mSettings = old.withChangeable(newer);
        return new Change(old.differences(mSettings), mSettings.differences(newer));
    }

    /** Names of the settings that are in force now, and of those that wait for a start. */
    record Change(ImmutableSortedSet<String> inForce, ImmutableSortedSet<String> atStart) {
        boolean none() {
            return inForce.isEmpty() && atStart.isEmpty();
        }
    }
}
