package io.bilberrygrade.core.report;

/**
 * Outcome counts of the requests of one class. {@code requests} is the sum of {@code done}, {@code
 * refused}, {@code failed} and {@code unknown}; worth is stated by the callers. A loss is a request
 * or token that should have reached its caller but didn't; a repeat is one that reached the caller
 * again.
 */
public record ClassCounts(
        long requests,
        long done,
        long insideTarget,
        long refused,
        long failed,
        long unknown,
        long losses,
        long repeats,
        double worthOffered,
        double worthInTime) {
    /** No requests. */
    public static final ClassCounts NONE = new ClassCounts(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns the counts of one request that was answered whole and before its deadline. */
    public static ClassCounts done(boolean insideTarget, double worth) {
        return new ClassCounts(1, 1, insideTarget ? 1 : 0, 0, 0, 0, 0, 0, worth, worth);
    }

    /** Returns the counts of one request that was refused and did not run. */
    public static ClassCounts refused(double worth) {
        return new ClassCounts(1, 0, 0, 1, 0, 0, 0, 0, worth, 0);
    }

    /** Returns the counts of one request that was admitted and failed without having run. */
    public static ClassCounts failed(double worth) {
        return new ClassCounts(1, 0, 0, 0, 1, 0, 0, 0, worth, 0);
    }

    /** Returns the counts of one request whose outcome is unknown. */
    public static ClassCounts unknown(double worth) {
        return new ClassCounts(1, 0, 0, 0, 0, 1, 0, 0, worth, 0);
    }

    /** Returns the counts of detected losses and repeats. */
    public static ClassCounts found(long losses, long repeats) {
        return new ClassCounts(0, 0, 0, 0, 0, 0, losses, repeats, 0, 0);
    }

    /** Returns the sum of two counts. */
    public ClassCounts plus(ClassCounts other) {
        return new ClassCounts(
                requests + other.requests,
                done + other.done,
                insideTarget + other.insideTarget,
                refused + other.refused,
                failed + other.failed,
                unknown + other.unknown,
                losses + other.losses,
                repeats + other.repeats,
                worthOffered + other.worthOffered,
                worthInTime + other.worthInTime);
    }

    /**
     * Returns the fraction of all requests that were done inside their target; 1 if there were
     * none.
     */
    public double insideTargetShare() {
        return requests == 0 ? 1 : (double) insideTarget / requests;
    }
}
