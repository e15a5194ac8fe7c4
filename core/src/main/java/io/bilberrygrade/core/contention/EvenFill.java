package io.bilberrygrade.core.contention;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.Candidate;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Draws an engine in proportion to what it lacks to the level that the engines reach if arrivals
 * fill the emptiest ones first. If all daemons draw so, the arrivals of all of them fill the
 * engines evenly.
 */
final class EvenFill {
    private EvenFill() {}

    /** Returns an engine with capacity; empty if there is none. */
    static Optional<Candidate> draw(
            ImmutableList<Candidate> candidates,
            ToDoubleFunction<Candidate> load,
            Predicate<Candidate> hasCapacity,
            double arrivals,
            double draw) {
        double[] loads = candidates.stream().mapToDouble(load).toArray();
        double level = level(loads, arrivals);
        double[] lacking = new double[loads.length];
        for (int i = 0; i < loads.length; i++) {
            lacking[i] = hasCapacity.test(candidates.get(i)) ? Math.max(0, level - loads[i]) : 0;
        }
        double left = draw * Arrays.stream(lacking).sum();
        for (int i = 0; i < lacking.length; i++) {
            left -= lacking[i];
            if (left < 0) {
                return Optional.of(candidates.get(i));
            }
        }
        return Optional.empty();
    }

    /** Returns the level of the emptiest engines after they took all arrivals. */
    private static double level(double[] loads, double arrivals) {
        double[] sorted = loads.clone();
        Arrays.sort(sorted);
        double level = 0;
        double sum = 0;
        for (int count = 1; count <= sorted.length; count++) {
            sum += sorted[count - 1];
            level = (sum + arrivals) / count;
            if (count < sorted.length && level <= sorted[count]) {
                return level;
            }
        }
        return level;
    }
}
