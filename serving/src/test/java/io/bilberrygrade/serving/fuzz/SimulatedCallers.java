package io.bilberrygrade.serving.fuzz;

import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.CallerHeaders;
import io.bilberrygrade.serving.http.CompletionBody;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Sends requests to the daemons of a fleet and passes the outcomes to the oracle. */
final class SimulatedCallers {
    private static final TeamId TEAM = new TeamId("team");
    private static final int PROMPT_TOKENS = 1_000;

    private final VirtualTime mTime;
    private final Oracle mOracle;
    private final SimulatedNetwork mNetwork;
    private final List<String> mKeys = new ArrayList<>();
    private final List<SimulatedCaller> mCallers = new ArrayList<>();

    SimulatedCallers(VirtualTime time, Oracle oracle, SimulatedNetwork network) {
        mTime = time;
        mOracle = oracle;
        mNetwork = network;
    }

    void issueKey(SimulatedDaemon daemon) {
        daemon.process()
                .schedule(
                        mNetwork.delay(),
                        () -> daemon.issueKey(TEAM).ifPresent(k -> mKeys.add(k.text())));
    }

    void submit(SimulatedDaemon daemon, FaultStep.Submit step) {
        if (step.keyAge() >= mKeys.size()) {
            return;
        }
        String key = mKeys.get(mKeys.size() - 1 - step.keyAge());
        Call call = new Call.Service(new ServiceId("account"), "top-up");
        send(
                daemon,
                call,
                headers(Duration.ofMillis(step.timeoutMillis()), Optional.of(key)),
                (caller, outcome) -> mOracle.checkCallAnswer(key, outcome, caller.serviceAnswer()));
    }

    void complete(SimulatedDaemon daemon, FaultStep.Complete step) {
        Prompt prompt = new Prompt(PROMPT_TOKENS, step.tokens(), ImmutableLongArray.of());
        Call call =
                new Call.Completion(
                        new CompletionBody(
                                Optional.of(SimulatedPlatform.MODEL), prompt, true, 0, 0));
        send(
                daemon,
                call,
                headers(Duration.ofMillis(step.timeoutMillis()), Optional.empty()),
                (caller, outcome) ->
                        mOracle.checkCompletionAnswer(
                                caller.id(), outcome, caller.tokens(), step.tokens()));
    }

    /** Disconnects the caller of a recent request; age 0 is the latest request. */
    void disconnect(int age) {
        if (age < mCallers.size()) {
            mCallers.get(mCallers.size() - 1 - age).disconnect();
        }
    }

    private void send(
            SimulatedDaemon daemon,
            Call call,
            CallerHeaders headers,
            BiConsumer<SimulatedCaller, Outcome> check) {
        daemon.process().schedule(mNetwork.delay(), () -> receive(daemon, call, headers, check));
    }

    private void receive(
            SimulatedDaemon daemon,
            Call call,
            CallerHeaders headers,
            BiConsumer<SimulatedCaller, Outcome> check) {
        RequestId id = daemon.nextRequest();
        SimulatedCaller caller =
                new SimulatedCaller(
                        id, daemon.process(), mTime::now, headers.timeout().orElseThrow());
        mCallers.add(caller);
        mOracle.recordRequest(caller);
        daemon.receive(id, call, headers, caller)
                .subscribe()
                .with(
                        outcome -> onOutcome(caller, outcome, check),
                        e -> mOracle.check(false, "the filter chain failed: " + e));
    }

    private void onOutcome(
            SimulatedCaller caller, Outcome outcome, BiConsumer<SimulatedCaller, Outcome> check) {
        mOracle.check(caller.recordOutcome(outcome), "two final answers: " + caller);
        check.accept(caller, outcome);
    }

    private static CallerHeaders headers(Duration timeout, Optional<String> key) {
        return new CallerHeaders(
                Optional.of(SimulatedPlatform.CREDENTIAL),
                Optional.of("short"),
                Optional.empty(),
                Optional.of(timeout),
                1,
                key);
    }
}
