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
 * What really happened, as far as callers and endpoints can tell, and whether it keeps the
 * promises. Knows nothing of how daemons decide.
 */
final class Oracle {
    private final Map<String, Integer> mRuns = new HashMap<>();
    private final Map<String, String> mAnswers = new HashMap<>();
    private final Map<String, String> mRefusedKeys = new HashMap<>();
    private final Map<PeerIdentity, Long> mVersions = new HashMap<>();
    private final Set<RequestId> mRanRequests = new HashSet<>();
    private final List<SimulatedCaller> mCallers = new ArrayList<>();
    private final List<String> mFindings = new ArrayList<>();

    /** Counts a run of a call at the service and returns its answer. */
    String run(String key) {
        int runs = mRuns.merge(key, 1, Integer::sum);
        check(runs == 1, "the call under " + key + " ran " + runs + " times");
        check(!mRefusedKeys.containsKey(key), "ran after not-run: " + mRefusedKeys.get(key));
        return key + "#" + runs;
    }

    /** Notes that an engine ran a request. */
    void ran(RequestId request) {
        mRanRequests.add(request);
    }

    /** Checks that no run of a daemon goes back to an older configuration. */
    void inForce(PeerIdentity daemon, long version) {
        Long previous = mVersions.put(daemon, version);
        check(
                previous == null || previous < version,
                daemon + " went from version " + previous + " to " + version);
    }

    /** Notes a request that a caller has sent. */
    void sent(SimulatedCaller caller) {
        mCallers.add(caller);
    }

    /** Checks the final outcome that a caller got for a call under a key. */
    void answeredCall(String key, Outcome outcome, String answer) {
        switch (outcome) {
            case Outcome.Done d -> {
                check(mRuns.containsKey(key), "done, but never run: " + key);
                String first = mAnswers.putIfAbsent(key, answer);
                check(first == null || first.equals(answer), "two answers under " + key);
            }
            case Outcome.NotRun n -> {
                check(!mRuns.containsKey(key), "not-run " + n.reason() + " of a call that ran");
                mRefusedKeys.put(key, n.reason() + " " + n.detail());
            }
            case Outcome.Unknown u -> {}
        }
    }

    /** Checks the final outcome and the tokens that a caller got for a completion. */
    void answeredCompletion(RequestId id, Outcome outcome, List<String> tokens, int expected) {
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
                            !mRanRequests.contains(id),
                            "not-run " + n.reason() + " of a completion that an engine ran");
            case Outcome.Unknown u -> {}
        }
    }

    /** Checks that every request of a daemon that lives has had its final outcome in time. */
    void checkAnswers() {
        for (SimulatedCaller caller : mCallers) {
            check(caller.answeredOrLost(), "no final answer: " + caller);
            check(caller.inTime(), "answered after the deadline: " + caller);
        }
    }

    /** Records a finding unless a promise holds. */
    void check(boolean holds, String finding) {
        if (!holds) {
            mFindings.add(finding);
        }
    }

    /** Fails with what was found, if anything. */
    void verify() {
        if (!mFindings.isEmpty()) {
            throw new AssertionError(String.join("\n", mFindings));
        }
    }
}
