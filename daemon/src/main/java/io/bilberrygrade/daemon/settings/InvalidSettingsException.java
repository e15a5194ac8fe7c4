package io.bilberrygrade.daemon.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.bilberrygrade.serving.document.Fault;

/** Thrown if a settings file can't be read or is invalid; contains every fault. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<Fault> mFaults;
    private final transient ImmutableList<Fault> mMissingSecrets;

    /** Creates the exception with the faults found. */
    public InvalidSettingsException(ImmutableList<Fault> faults) {
        this(faults, ImmutableList.of());
    }

    /**
     * Creates the exception. {@code missingSecrets} are the faults of secret files that don't
     * exist.
     */
    public InvalidSettingsException(
            ImmutableList<Fault> faults, ImmutableList<Fault> missingSecrets) {
        super(Joiner.on('\n').join(Iterables.concat(faults, missingSecrets)));
        mFaults = faults;
        mMissingSecrets = missingSecrets;
    }

    /** Returns the faults, each with its file, line and key. */
    public ImmutableList<Fault> faults() {
        return mFaults;
    }

    /**
     * Returns a fault for each key that names a secret file that doesn't exist. They are separate
     * from the other faults because secrets are deployed separately from settings, mostly later.
     */
    public ImmutableList<Fault> missingSecrets() {
        return mMissingSecrets;
    }
}
