package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.settings.Mechanism;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Runs random chains of steps and shrinks those that violate an invariant. */
final class FuzzCampaign {
    private static final int GENERATOR_SIZE = 1_000;

    private final ImmutableSet<Mechanism> mDisabled;
    private final Random mRandom;
    private int mChains;
    private long mSteps;
    private long mFaults;

    FuzzCampaign(long seed, ImmutableSet<Mechanism> disabled) {
        mRandom = new Random(seed);
        mDisabled = disabled;
    }

    /** Runs the next random chain and returns the violation it found, if any. */
    Optional<Finding> next() {
        long fleetSeed = mRandom.nextLong();
        ActionChain<Fleet> chain =
                FaultSteps.chains(fleetSeed, mDisabled)
                        .generator(GENERATOR_SIZE)
                        .next(mRandom)
                        .value();
        mChains++;
        Fleet[] last = new Fleet[1];
        try {
            chain.peek(f -> last[0] = f).run().finish();
            return Optional.empty();
        } catch (AssertionError e) {
            return Optional.of(shrink(fleetSeed, List.copyOf(chain.transformers())));
        } finally {
            mSteps += last[0] == null ? 0 : last[0].steps();
            mFaults += last[0] == null ? 0 : last[0].faults();
        }
    }

    int chains() {
        return mChains;
    }

    long steps() {
        return mSteps;
    }

    long faults() {
        return mFaults;
    }

    /** Removes ever shorter sequences of steps while an invariant is still violated. */
    private Finding shrink(long fleetSeed, List<Transformer<Fleet>> steps) {
        List<Transformer<Fleet>> shortest = new ArrayList<>(steps);
        for (int length = shortest.size() / 2; length >= 1; length /= 2) {
            for (int from = 0; from + length <= shortest.size(); ) {
                List<Transformer<Fleet>> shorter = new ArrayList<>(shortest);
                shorter.subList(from, from + length).clear();
                if (findViolation(fleetSeed, shorter).isPresent()) {
                    shortest = shorter;
                } else {
                    from += length;
                }
            }
        }
        String message = findViolation(fleetSeed, shortest).orElse("not reproducible");
        List<String> names = shortest.stream().map(Transformer::transformation).toList();
        return new Finding(fleetSeed, message, names);
    }

    private Optional<String> findViolation(long fleetSeed, List<Transformer<Fleet>> steps) {
        Fleet fleet = new Fleet(fleetSeed, mDisabled);
        try {
            Fleet state = fleet;
            for (Transformer<Fleet> step : steps) {
                state = step.apply(state);
            }
            state.finish();
            return Optional.empty();
        } catch (AssertionError e) {
            return Optional.of(e.getMessage());
        }
    }

    /** Violated invariant and the shortest chain of steps found that violates it. */
    record Finding(long fleetSeed, String message, List<String> steps) {}
}
