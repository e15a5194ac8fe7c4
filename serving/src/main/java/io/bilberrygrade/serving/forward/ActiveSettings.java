package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSortedSet;

/**
 * Holds the settings in force in a running daemon. Settings that no open port or connection depends
 * on take effect when they are reloaded; the others take effect at the next start, since changing
 * them would interrupt running requests.
 */
final class ActiveSettings {
    private ForwardSettings mSettings;

    ActiveSettings(ForwardSettings settings) {
        mSettings = settings;
    }

    ForwardSettings get() {
        return mSettings;
    }

    /**
     * Applies the settings that can change at run time, and returns the names of those applied and
     * of those that need a restart.
     */
    Change replace(ForwardSettings newer) {
        ForwardSettings old = mSettings;
        mSettings = old.withChangeable(newer);
        return new Change(old.differences(mSettings), mSettings.differences(newer));
    }

    /** Names of the settings that were applied, and of those that need a restart. */
    record Change(ImmutableSortedSet<String> applied, ImmutableSortedSet<String> pendingRestart) {
        boolean isEmpty() {
            return applied.isEmpty() && pendingRestart.isEmpty();
        }
    }
}
