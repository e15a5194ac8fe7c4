package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.serving.fuzz.SimulatedEngine.EngineMode;
import io.bilberrygrade.serving.fuzz.SimulatedService.ServiceMode;
import io.bilberrygrade.serving.settings.Mechanism;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** Generates random chains of steps for stateful tests of a fleet. */
final class FaultSteps {
    private static final int MAX_STEPS = 60;
    private static final int MAX_KEY_AGE = 3;
    private static final int MAX_REQUEST_AGE = 5;

    private FaultSteps() {}

    /** Returns chains of steps on a fleet with the given mechanisms disabled. */
    static ActionChainArbitrary<Fleet> chains(long seed, ImmutableSet<Mechanism> disabled) {
        return ActionChain.startWith(() -> new Fleet(seed, disabled))
                .withAction(
                        12,
                        action(
                                Arbitraries.integers()
                                        .between(1, 8_000)
                                        .map(FaultStep.Advance::new)))
                .withAction(6, action(daemons().map(FaultStep.IssueKey::new)))
                .withAction(12, action(submissions()))
                .withAction(6, action(completions()))
                .withAction(
                        1,
                        action(
                                Arbitraries.integers()
                                        .between(0, MAX_REQUEST_AGE)
                                        .map(FaultStep.LeaveCaller::new)))
                .withAction(10, action(processFaults()))
                .withAction(4, action(networkFaults()))
                .withAction(4, action(endpointFaults()))
                .withAction(4, action(platformFaults()))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<Fleet> action(Arbitrary<? extends FaultStep> steps) {
        return () ->
                steps.map(step -> Transformer.mutate(step.toString(), fleet -> fleet.apply(step)));
    }

    private static Arbitrary<Integer> daemons() {
        return Arbitraries.integers().between(0, Fleet.DAEMONS - 1);
    }

    private static Arbitrary<Integer> timeouts() {
        return Arbitraries.of(5, 100, 1_000, 10_000, 30_000);
    }

    private static Arbitrary<FaultStep> submissions() {
        return Combinators.combine(
                        daemons(), Arbitraries.integers().between(0, MAX_KEY_AGE), timeouts())
                .as(FaultStep.Submit::new);
    }

    private static Arbitrary<FaultStep> completions() {
        return Combinators.combine(daemons(), Arbitraries.integers().between(1, 40), timeouts())
                .as(FaultStep.Complete::new);
    }

    private static Arbitrary<FaultStep> processFaults() {
        return Arbitraries.oneOf(
                daemons().map(FaultStep.Kill::new),
                daemons().map(FaultStep.Restart::new),
                daemons().map(FaultStep.Restart::new),
                Combinators.combine(daemons(), Arbitraries.of(50, 1_500, 20_000))
                        .as(FaultStep.Pause::new),
                daemons().map(FaultStep.ShutDown::new));
    }

    private static Arbitrary<FaultStep> networkFaults() {
        return Arbitraries.oneOf(
                Combinators.combine(daemons(), daemons()).as(FaultStep.Cut::new),
                Arbitraries.just(new FaultStep.DoubleMessages()),
                Arbitraries.just(new FaultStep.HealNetwork()));
    }

    private static Arbitrary<FaultStep> endpointFaults() {
        return Arbitraries.oneOf(
                Arbitraries.of(ServiceMode.class).map(FaultStep.ServiceFault::new),
                Combinators.combine(
                                Arbitraries.integers().between(0, Fleet.ENGINES - 1),
                                Arbitraries.of(EngineMode.class))
                        .as(FaultStep.EngineFault::new));
    }

    private static Arbitrary<FaultStep> platformFaults() {
        return Arbitraries.oneOf(
                Arbitraries.of(true, true, false).map(FaultStep.Publish::new),
                Arbitraries.of(true, false).map(FaultStep.PlatformDown::new),
                Arbitraries.of(true, false).map(FaultStep.PlatformStale::new));
    }
}
