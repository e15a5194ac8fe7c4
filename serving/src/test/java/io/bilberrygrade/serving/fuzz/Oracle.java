package io.bilberrygrade.serving.fuzz;

import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.serving.peer.PeerIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records what callers and endpoints observe and checks it against the invariants. It doesn't
 * depend on how daemons decide.
 */
final class Oracle {
    private final Map<String, Integer> mServiceRuns = new HashMap<>();
    private final Map<String, String> mFirstAnswers = new HashMap<>();
    private final Map<String, String> mRefusedKeys = new HashMap<>();
    private final Map<PeerIdentity, Long> mConfigVersions = new HashMap<>();
    private final Set<RequestId> mEngineRuns = new HashSet<>();
    private final List<SimulatedCaller> mCallers = new ArrayList<>();
    private final List<String> mFindings = new ArrayList<>();

    /** Records an execution of a call by the service and returns its answer. */
    String recordServiceRun(String key) {
        int runs = mServiceRuns.merge(key, 1, Integer::sum);
        check(runs == 1, "the call under " + key + " ran " + runs + " times");
        check(!mRefusedKeys.containsKey(key), "ran after not-run: " + mRefusedKeys.get(key));
        return key + "#" + runs;
    }

    /** Records that an engine ran a request. */
    void recordEngineRun(RequestId request) {
        mEngineRuns.add(request);
    }

    /** Checks that no incarnation of a daemon reverts to an older configuration. */
    void recordConfigVersion(PeerIdentity daemon, long version) {
        Long previous = mConfigVersions.put(daemon, version);
        check(
                previous == null || previous < version,
                daemon + " went from version " + previous + " to " + version);
    }

    /** Records a request that a caller has sent. */
    void recordRequest(SimulatedCaller caller) {
        mCallers.add(caller);
    }

    /** Checks the final outcome that a caller got for a call under a key. */
    void checkCallAnswer(String key, Outcome outcome, String answer) {
        switch (outcome) {
            case Outcome.Done d -> {
                check(mServiceRuns.containsKey(key), "done, but never run: " + key);
                String first = mFirstAnswers.putIfAbsent(key, answer);
                check(first == null || first.equals(answer), "two answers under " + key);
            }
            case Outcome.NotRun n -> {
                check(
                        !mServiceRuns.containsKey(key),
                        "not-run " + n.reason() + " of a call that ran");
                mRefusedKeys.put(key, n.reason() + " " + n.detail());
            }
            case Outcome.Unknown u -> {}
        }
    }

    /** Checks the final outcome and the tokens that a caller got for a completion. */
    void checkCompletionAnswer(RequestId id, Outcome outcome, List<String> tokens, int expected) {
        for (int i = 0; i < tokens.size(); i++) {
            check(
                    tokens.get(i).equals(SimulatedEngine.token(id.value(), i)),
                    "token " + i + " of " + id + " is " + tokens.get(i));
        }
        switch (outcome) {
            case Outcome.Done d ->
                    check(tokens.size() == expected, id + " has " + tokens.size() + " tokens");
            case Outcome.NotRun n ->
                    check(
                            !mEngineRuns.contains(id),
                            "not-run " + n.reason() + " of a completion that an engine ran");
            case Outcome.Unknown u -> {}
        }
    }

    /** Checks that every request to a live daemon got its final outcome in time. */
    void checkAllAnswered() {
        for (SimulatedCaller caller : mCallers) {
            check(caller.isAnsweredOrLost(), "no final answer: " + caller);
            check(caller.isInTime(), "answered after the deadline: " + caller);
        }
    }

    /** Records a finding unless the condition holds. */
    void check(boolean holds, String finding) {
        if (!holds) {
            mFindings.add(finding);
        }
    }

    /** Throws an {@link AssertionError} with all findings, if there are any. */
    void verify() {
        if (!mFindings.isEmpty()) {
            throw new AssertionError(String.join("\n", mFindings));
        }
    }
}
