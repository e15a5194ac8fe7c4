package io.bilberrygrade.standins.engine;

import java.util.Comparator;

/** Progress of one request in the scheduler. */
final class Job {
    static final Comparator<Job> ORDER =
            Comparator.<Job>comparingInt(j -> j.mSpec.priority()).thenComparingLong(j -> j.mSerial);

    private final JobSpec mSpec;
    private final JobListener mListener;
    private final long mSerial;
    private long mRemainingPrefill;
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

    /** Sets the remaining prefill, given that the first {@code cachedTokens} are cached. */
    void skipPrefill(long cachedTokens) {
        long skipped = Math.max(cachedTokens, mSpec.importedTokens());
        mRemainingPrefill = Math.max(mSpec.promptTokens() + mSpec.resumeOffset() - skipped, 1);
    }

    void prefill(long tokens) {
        mRemainingPrefill -= tokens;
    }

    long remainingPrefill() {
        return mRemainingPrefill;
    }

    void startDecode() {
        mDecoding = true;
    }

    boolean isDecoding() {
        return mDecoding;
    }

    /**
     * Generates the next token unless the answer is complete; returns whether it is complete now.
     */
    boolean decode() {
        if (mNextOffset < mSpec.maxTokens()) {
            mListener.tokens(mNextOffset, 1);
            mNextOffset++;
        }
        return mNextOffset >= mSpec.maxTokens();
    }
}
