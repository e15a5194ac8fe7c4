package io.bilberrygrade.daemon.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.bilberrygrade.serving.document.Fault;

/** Settings file that can't be read or fails its checks; carries every fault. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<Fault> mFaults;
    private final transient ImmutableList<Fault> mMissingSecrets;

    /** Creates the exception with the faults that were found. */
    public InvalidSettingsException(ImmutableList<Fault> faults) {
        this(faults, ImmutableList.of());
    }

    /** Creates the exception; {@code missingSecrets} are files that the settings name. */
    public InvalidSettingsException(
            ImmutableList<Fault> faults, ImmutableList<Fault> missingSecrets) {
        super(Joiner.on('\n').join(Iterables.concat(faults, missingSecrets)));
        mFaults = faults;
        mMissingSecrets = missingSecrets;
    }

    /** Returns the faults, each with the file, line and key at which it was found. */
    public ImmutableList<Fault> faults() {
        return mFaults;
    }

    /**
     * Returns the places that name a file with a secret which doesn't exist. They are kept apart,
     * since secrets come to a machine another way than settings do, mostly later.
     */
    public ImmutableList<Fault> missingSecrets() {
        return mMissingSecrets;
    }
}
