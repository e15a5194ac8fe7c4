package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Chooses the engine with the shortest predicted time to first token among a few candidates: those
 * that rendezvous hashing prefers for the prompt's prefix and some random ones, or all engines of a
 * small fleet. Among nearly equal predictions the preferred engines win, otherwise the choice is
 * random, so that daemons with the same stale reports don't all choose the same engine.
 */
public final class PredictivePolicy implements PlacementPolicy {
    private static final int FREE_CANDIDATES = 4;
    private static final int SHORT_CANDIDATES = 4;
    private static final int LONG_CANDIDATES = 16;
    private static final int MAX_DRAWS_FACTOR = 3;

    /**
     * Maximum size of a fleet of which all engines are compared, which costs less than a poor
     * choice.
     */
    private static final int SMALL_FLEET = 16;

    private static final double NEARLY_EQUAL_FACTOR = 1.02;
    private static final Duration NEARLY_EQUAL = Duration.ofMillis(2);

    private final boolean mAffinity;
    private final long mSeed;

    /**
     * Creates the policy; {@code affinity} selects whether requests with the same prefix go to the
     * same engines.
     */
    public PredictivePolicy(boolean affinity, long seed) {
        mAffinity = affinity;
        mSeed = seed;
    }

    private record Candidate(EndpointView view, boolean preferred, Duration predicted) {}

    @Override
    public Optional<Placement> place(InferenceRequest request, EngineFleet fleet, Instant now) {
        Lane lane = fleet.layout().lanes().lane(request.prompt().tokens());
        UniformRandomProvider random = random(request, now);
        List<Candidate> candidates = candidates(request, fleet, lane, random, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Candidate chosen = choose(candidates, random);
        return Optional.of(
                new Placement(
                        chosen.view(),
                        chosen.predicted(),
                        TimeToFirstToken.backlog(chosen.view(), lane),
                        lane,
                        fleet.layout()
                                .lanes()
                                .priority(request.workClass(), request.prompt().tokens())));
    }

    private List<Candidate> candidates(
            InferenceRequest request,
            EngineFleet fleet,
            Lane lane,
            UniformRandomProvider random,
            Instant now) {
        CandidateSet set = new CandidateSet(request.prompt(), fleet, lane, now);
        Prompt prompt = request.prompt();
        if (mAffinity && lane == Lane.SHORT && !prompt.prefixHashes().isEmpty()) {
            for (int i : fleet.layout().preferred().preferred(prompt.prefixHashes().get(0))) {
                set.add(fleet.layout().engines().get(i), true);
            }
        }
        switch (lane) {
            case SHORT -> {
                draw(fleet.layout().freeEngines(), set, FREE_CANDIDATES, random);
                draw(fleet.layout().watched(), set, SHORT_CANDIDATES, random);
            }
            case LONG -> draw(fleet.layout().longEngines(), set, LONG_CANDIDATES, random);
        }
        if (set.mCandidates.isEmpty()) {
            fleet.layout().engines().forEach(e -> set.add(e, false));
        }
        return set.mCandidates;
    }

    private static void draw(
            ImmutableList<Endpoint> pool,
            CandidateSet set,
            int count,
            UniformRandomProvider random) {
        if (pool.size() <= count || set.mFleet.layout().engines().size() <= SMALL_FLEET) {
            pool.forEach(e -> set.add(e, false));
            return;
        }
        int drawn = 0;
        for (int i = 0; i < count * MAX_DRAWS_FACTOR && drawn < count; i++) {
            if (set.add(pool.get(random.nextInt(pool.size())), false)) {
                drawn++;
            }
        }
    }

    private static Candidate choose(List<Candidate> candidates, UniformRandomProvider random) {
        long best = Long.MAX_VALUE;
        for (Candidate c : candidates) {
            best = Math.min(best, c.predicted().toNanos());
        }
        long limit = (long) (best * NEARLY_EQUAL_FACTOR) + NEARLY_EQUAL.toNanos();
        List<Candidate> nearlyBest = new ArrayList<>(candidates.size());
        List<Candidate> preferred = new ArrayList<>(RendezvousTable.PREFERRED);
        for (Candidate c : candidates) {
            if (c.predicted().toNanos() <= limit) {
                nearlyBest.add(c);
                if (c.preferred()) {
                    preferred.add(c);
                }
            }
        }
        List<Candidate> pool = preferred.isEmpty() ? nearlyBest : preferred;
        return pool.get(random.nextInt(pool.size()));
    }

    private UniformRandomProvider random(InferenceRequest request, Instant now) {
        return new SplitMix64(
                StableHash.mix(mSeed ^ now.toEpochMilli(), request.id().value().hashCode()));
    }

    private final class CandidateSet {
        private final Prompt mPrompt;
        private final EngineFleet mFleet;
        private final Lane mLane;
        private final Instant mNow;
        private final boolean mPrefixCached;
        private final List<Candidate> mCandidates = new ArrayList<>();

        CandidateSet(Prompt prompt, EngineFleet fleet, Lane lane, Instant now) {
            mPrompt = prompt;
            mFleet = fleet;
            mLane = lane;
            mNow = now;
            mPrefixCached = fleet.prefixes().hasCachedPrefix(prompt);
        }

        boolean add(Endpoint engine, boolean preferred) {
            for (Candidate c : mCandidates) {
                if (c.view().endpoint().id().equals(engine.id())) {
                    return false;
                }
            }
            EndpointView view = mFleet.view(engine, mNow);
            if (!view.available() || engine.memoryTokens() < mPrompt.memoryTokens()) {
                return false;
            }
            double cached =
                    mAffinity && mPrefixCached
                            ? mFleet.prefixes().cachedTokens(engine.id(), mPrompt)
                                    * PrefixIndex.HIT_CONFIDENCE
                            : 0;
            Duration predicted = TimeToFirstToken.predict(view, mPrompt, mLane, cached);
            return mCandidates.add(new Candidate(view, preferred, predicted));
        }
    }
}
