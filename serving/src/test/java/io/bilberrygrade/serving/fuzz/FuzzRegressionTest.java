package io.bilberrygrade.serving.fuzz;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays chains of steps in which the fuzzer found faults. */
final class FuzzRegressionTest {
    private static final ImmutableList<FaultStep> CALLER_LEAVES_AFTER_KILL =
            ImmutableList.of(
                    new FaultStep.Complete(3, 20, 1_000),
                    new FaultStep.IssueKey(0),
                    new FaultStep.Advance(186),
                    new FaultStep.Submit(2, 0, 10_000),
                    new FaultStep.Kill(3),
                    new FaultStep.Complete(0, 10, 10_000),
                    new FaultStep.Advance(2_627),
                    new FaultStep.LeaveCaller(2));

    private static final ImmutableList<FaultStep> PEER_ENDS_BETWEEN_PAUSES =
            ImmutableList.of(
                    new FaultStep.Pause(0, 20_000),
                    new FaultStep.Advance(4_264),
                    new FaultStep.ShutDown(3),
                    new FaultStep.Pause(0, 20_000));

    @ParameterizedTest
    @ValueSource(longs = {6308871931868213323L, 7})
    void killedDaemonSendsNoAnswers(long fleetSeed) {
        Fleet fleet = new Fleet(fleetSeed, ImmutableSet.of());
        CALLER_LEAVES_AFTER_KILL.forEach(fleet::apply);
        fleet.finish();
    }

    @Test
    void peerThatEndedBetweenPausesIsRemoved() {
        Fleet fleet = new Fleet(8313984888824645412L, ImmutableSet.of());
        PEER_ENDS_BETWEEN_PAUSES.forEach(fleet::apply);
        fleet.finish();
    }
}
