package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.cost.CostKey;
import io.bilberrygrade.core.cost.CostLearner;
import io.bilberrygrade.core.cost.PredictedPlacement;
import io.bilberrygrade.core.cost.StreamCost;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the daemons of a simulated fleet have learned of streams, and the engines' true speeds. */
final class PatternCosts {
    private final PatternPolicy mPolicy;
    private final EngineCost mCost;
    private final List<CostLearner> mLearners = new ArrayList<>();
    private final Map<EndpointRun, Double> mTrueSpeeds = new HashMap<>();

    PatternCosts(PatternPolicy policy, EngineCost cost, int daemons) {
        mPolicy = policy;
        mCost = cost;
        for (int i = 0; i < daemons; i++) {
            mLearners.add(new CostLearner());
        }
    }

    void setTrueSpeed(EndpointRun run, double speed) {
        mTrueSpeeds.put(run, speed);
    }

    /** Returns the placement of a strict stream by its predicted completion. */
    StreamPlacement place(
            int daemon,
            String requestClass,
            StreamNeed need,
            ImmutableList<Candidate> engines,
            Instant now) {
        CostLearner learner = mLearners.get(daemon);
        boolean known = mPolicy == PatternPolicy.KNOWN_COST;
        double ratio =
                known
                        ? 1
                        : learner.cost()
                                .millis(CostKey.stream(requestClass, need.prompt()), 1, now)
                                .map(d -> d.mean())
                                .orElse(1.0);
        return StreamPlacementPolicy.place(
                        need,
                        mCost,
                        engines,
                        PredictedPlacement.streamOrder(
                                mCost,
                                need.prompt().promptTokens(),
                                ratio,
                                known
                                        ? run -> mTrueSpeeds.getOrDefault(run, 1.0)
                                        : learner.speeds()::of))
                .orElseThrow();
    }

    /** Returns the predicted cost of a stream that was placed. */
    AttemptCost predict(
            int daemon,
            String requestClass,
            StreamNeed need,
            StreamPlacement placed,
            ImmutableList<Candidate> engines,
            Instant now) {
        EndpointWork known =
                engines.stream()
                        .filter(c -> c.endpoint().equals(placed.first()))
                        .map(Candidate::work)
                        .findFirst()
                        .orElse(EndpointWork.NONE);
        double published =
                StreamCost.firstEventMillis(
                        mCost, known, need.prompt().promptTokens(), placed.partMillis());
        return new AttemptCost(
                mLearners
                        .get(daemon)
                        .predict(
                                CostKey.stream(requestClass, need.prompt()),
                                published,
                                placed.first().run(),
                                now),
                placed.first(),
                known,
                placed.waitMillis(),
                !placed.helpers().isEmpty());
    }

    void recordFirstEvent(int daemon, AttemptCost attempt, double millis, Instant now) {
        mLearners.get(daemon).recordTime(attempt, true, millis, now);
    }
}
