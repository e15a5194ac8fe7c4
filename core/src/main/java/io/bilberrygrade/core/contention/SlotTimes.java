package io.bilberrygrade.core.contention;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Mean time for which the requests of a kind use a slot after their first event, or from start to
 * end at a plain service, learned from those that ended. Until there are some, it is unknown, and
 * nothing is refused on a guess.
 */
public final class SlotTimes {
    private static final int MAX_KINDS = 256;
    private static final int MIN_SAMPLES = 5;

    /** Weight of a sample among the later ones; about the last 20 requests decide. */
    private static final double WEIGHT = 0.05;

    /**
     * A sample counts as at most this multiple of the mean, so that a single one changes little.
     */
    private static final double MAX_SAMPLE = 4;

    private final Map<String, Learned> mByKind = new LinkedHashMap<>(16, 0.75f, true);

    /** Records the time that a request took. */
    public void record(String kind, Duration time) {
        Learned old = mByKind.getOrDefault(kind, new Learned(0, 0));
        mByKind.put(kind, old.plus((double) time.toMillis()));
        if (mByKind.size() > MAX_KINDS) {
            mByKind.remove(mByKind.keySet().iterator().next());
        }
    }

    /** Returns the mean in milliseconds; 0 while it isn't known. */
    public double millis(String kind) {
        Learned learned = mByKind.get(kind);
        return learned == null || learned.samples() < MIN_SAMPLES ? 0 : learned.mean();
    }

    private record Learned(double mean, int samples) {
        Learned plus(double millis) {
            double sample = samples < MIN_SAMPLES ? millis : Math.min(millis, MAX_SAMPLE * mean);
            double weight = Math.max(WEIGHT, 1.0 / (samples + 1));
            return new Learned(
                    mean + weight * (sample - mean), Math.min(MIN_SAMPLES * 20, samples + 1));
        }
    }
}
