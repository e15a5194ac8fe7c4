package io.bilberrygrade.serving.platform;

import com.google.common.collect.ImmutableList;

/** Published configuration that fails its checks; carries every fault that was found. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<String> mFaults;

    /** Creates the exception with the faults that were found. */
    public InvalidConfigException(ImmutableList<String> faults) {
        super(String.join("; ", faults));
        mFaults = faults;
    }

    /** Returns the faults, each with the part and key at which it was found. */
    public ImmutableList<String> faults() {
        return mFaults;
    }
}
