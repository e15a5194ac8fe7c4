package io.bilberrygrade.core.report;

/**
 * What became of the requests of one class. {@code requests} is the sum of {@code done}, {@code
 * refused}, {@code failed} and {@code unknown}; worth is what callers stated. A loss is a request
 * or token that should have reached its caller and was found not to have; a repeat is one that
 * reached the caller again.
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

    /** Returns the counts of losses and repeats that were found. */
    public static ClassCounts found(long losses, long repeats) {
        return new ClassCounts(0, 0, 0, 0, 0, 0, losses, repeats, 0, 0);
    }

    /** Returns the sum of two counts. */
    public ClassCounts plus(ClassCounts o) {
        return new ClassCounts(
                requests + o.requests,
                done + o.done,
                insideTarget + o.insideTarget,
                refused + o.refused,
                failed + o.failed,
                unknown + o.unknown,
                losses + o.losses,
                repeats + o.repeats,
                worthOffered + o.worthOffered,
                worthInTime + o.worthInTime);
    }

    /**
     * Returns the part of all requests that were done inside their target; 1 if there were none.
     */
    public double insideTargetShare() {
        return requests == 0 ? 1 : (double) insideTarget / requests;
    }
}
