package io.bilberrygrade.daemon.settings;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.document.Fault;

/** Settings file that can't be read or fails its checks; carries every fault. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<Fault> mFaults;

    /** Creates the exception with the faults that were found. */
    public InvalidSettingsException(ImmutableList<Fault> faults) {
        super(Joiner.on('\n').join(faults));
        mFaults = faults;
    }

    /** Returns the faults, each with the file, line and key at which it was found. */
    public ImmutableList<Fault> faults() {
        return mFaults;
    }
}
