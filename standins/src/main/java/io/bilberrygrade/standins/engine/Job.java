package io.bilberrygrade.standins.engine;

import java.util.Comparator;

/** Progress of one request within the scheduler. */
final class Job {
    static final Comparator<Job> ORDER =
            Comparator.<Job>comparingInt(j -> j.mSpec.priority()).thenComparingLong(j -> j.mSerial);

    private final JobSpec mSpec;
    private final JobListener mListener;
    private final long mSerial;
    private long mPrefillLeft;
    private int mNextOffset;
    private boolean mDecoding;

    Job(JobSpec spec, JobListener listener, long serial) {
        mSpec = spec;
        mListener = listener;
        mSerial = serial;
        mNextOffset = spec.resumeOffset();
        skipPrefill(0);
    }

    JobSpec spec() {
        return mSpec;
    }

    JobListener listener() {
        return mListener;
    }

    /** Sets what is left to prefill when the first {@code cachedTokens} are cached. */
    void skipPrefill(long cachedTokens) {
        long skipped = Math.max(cachedTokens, mSpec.importedTokens());
        mPrefillLeft = Math.max(mSpec.promptTokens() + mSpec.resumeOffset() - skipped, 1);
    }

    void prefill(long tokens) {
        mPrefillLeft -= tokens;
    }

    long prefillLeft() {
        return mPrefillLeft;
    }

    void startDecode() {
        mDecoding = true;
    }

    boolean isDecoding() {
        return mDecoding;
    }

    /** Generates the next token, if one is due, and returns whether the answer is whole. */
    boolean decode() {
        if (mNextOffset < mSpec.maxTokens()) {
            mListener.tokens(mNextOffset, 1);
            mNextOffset++;
        }
        return mNextOffset >= mSpec.maxTokens();
    }
}
