package io.bilberrygrade.serving.platform;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.document.Fault;

/** Thrown if the published configuration is invalid; carries every fault that was found. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<Fault> mFaults;

    /** Creates the exception with the faults that were found. */
    public InvalidConfigException(ImmutableList<Fault> faults) {
        super(Joiner.on("; ").join(faults));
        mFaults = faults;
    }

    /** Returns the faults, each with the part, line and key at which it was found. */
    public ImmutableList<Fault> faults() {
        return mFaults;
    }
}
