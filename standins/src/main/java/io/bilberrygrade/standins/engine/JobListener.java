package io.bilberrygrade.standins.engine;

/** Receives the progress of one request; exactly one of the last three calls ends it. */
public interface JobListener {
    /** Reports generated tokens from {@code offset} on. */
    void tokens(int offset, int count);

    /** Reports the end of the whole answer or segment. */
    void finished();

    /** Reports that the request was dropped before anything of it ran. */
    void refused(String reason);

    /** Reports that the request was dropped after it had begun. */
    void failed(String reason);
}
