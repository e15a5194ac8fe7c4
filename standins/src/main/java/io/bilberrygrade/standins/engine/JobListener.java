package io.bilberrygrade.standins.engine;

/**
 * Receives the progress of one request, which ends with exactly one call to one of the last three
 * methods.
 */
public interface JobListener {
    /** Reports generated tokens from {@code offset} on. */
    void tokens(int offset, int count);

    /** Reports that the answer or segment is complete. */
    void finished();

    /** Reports that the request was dropped before it started to run. */
    void refused(String reason);

    /** Reports that the request was dropped after it had started to run. */
    void failed(String reason);
}
