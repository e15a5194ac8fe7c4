package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates one pattern with one policy; a seed gives the same arrivals for every policy. */
final class PatternRun {
    /** One-way network time between a daemon and an engine. */
    private static final double ENGINE_NETWORK_MILLIS = 3;

    /** Number of retries by a caller after a refusal. */
    private static final int MAX_RETRIES = 1;

    /** Time until a daemon detects that an engine has crashed. */
    private static final double CRASH_DETECTION_MILLIS = 20;

    private static final double RETRY_AFTER_MILLIS = 1_000;

    private static final double SLOW_SPEED = 1.0 / 3;

    private static final double DRAIN_MILLIS = 15_000;

    /** Keeps the draws independent of the arrivals, whose generator has the seed itself. */
    private static final long DRAW_SEED_OFFSET = 1_000_000;

    private final PatternPolicy mPolicy;
    private final FleetProfile mFleet;
    private final EngineCost mCost;
    private final VirtualClock mClock = new VirtualClock();
    private final Map<EndpointId, BatchingEngine> mEngines = new HashMap<>();
    private final List<WorkLedger> mDaemons = new ArrayList<>();
    private final PatternLimits mLimits = new PatternLimits();
    private final PatternCosts mCosts;
    private final Map<PatternRequest, PatternAttempt> mRunning = new LinkedHashMap<>();
    private final List<PatternRequest> mRequests = new ArrayList<>();
    private final UniformRandomProvider mRandom;
    private final UniformRandomProvider mShuffleRandom;
    private final UniformRandomProvider mDrawRandom;
    private long mNextTurn;

    PatternRun(PatternPolicy policy, FleetProfile fleet, long seed) {
        mPolicy = policy;
        mFleet = fleet;
        mCost = fleet.cost();
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mShuffleRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mDrawRandom = RandomSource.SPLIT_MIX_64.create(seed + DRAW_SEED_OFFSET);
        for (int i = 0; i < fleet.engines(); i++) {
            RegisteredEndpoint endpoint = endpoint(i);
            mEngines.put(endpoint.id(), new BatchingEngine(endpoint, mCost, mClock));
        }
        mCosts = new PatternCosts(policy, mCost, fleet.daemons());
        for (int i = 0; i < fleet.daemons(); i++) {
            mDaemons.add(new WorkLedger());
        }
    }

    private RegisteredEndpoint endpoint(int number) {
        return new RegisteredEndpoint(
                new EndpointId("e" + number),
                1,
                new ServiceId("engines"),
                new Address("127.0.0.1", number + 1),
                new DataCentreId("dc"),
                mCost.slots(),
                false);
    }

    /** Simulates the pattern and returns all requests. */
    ImmutableList<PatternRequest> simulate(LoadPattern pattern) {
        mLimits.start(mFleet, mEngines.values(), pattern.limitedFraction(), mClock.now());
        slowDown(pattern.slowFraction());
        mFleet.classes().forEach(c -> scheduleArrivals(pattern, c));
        new SimulatedExchange(mClock, mDaemons, mFleet.exchangeMillis()).start(mShuffleRandom);
        mClock.schedule(pattern.lengthMillis() / 2, () -> crash(pattern.crashedFraction()));
        mClock.runUntil(pattern.lengthMillis() + DRAIN_MILLIS);
        return ImmutableList.copyOf(mRequests);
    }

    private void scheduleArrivals(LoadPattern pattern, PatternClass c) {
        double at = 0;
        double maxPerMillis = pattern.maxFactor(c.name()) * c.meanArrivalsPerSecond() / 1_000;
        while (at < pattern.lengthMillis()) {
            at += -Math.log(1 - mRandom.nextDouble()) / maxPerMillis;
            double perMillis = pattern.factorAt(c.name(), at) * c.meanArrivalsPerSecond() / 1_000;
            long tokens = c.tokens(mRandom);
            int daemon = mRandom.nextInt(mDaemons.size());
            if (mRandom.nextDouble() * maxPerMillis < perMillis) {
                mClock.schedule(at, () -> arrive(c, tokens, daemon, MAX_RETRIES));
            }
        }
    }

    private void arrive(PatternClass c, long tokens, int daemon, int retries) {
        PatternRequest request =
                new PatternRequest(c, tokens, mClock.nowMillis(), mFleet.tokensPerEvent());
        mRequests.add(request);
        submit(request, daemon, retries);
    }

    /** Submits the request to a daemon; a refused one is retried at a random daemon. */
    private void submit(PatternRequest request, int daemon, int retries) {
        StreamNeed need = request.requestClass().need(request.tokens());
        ImmutableList<Candidate> candidates = candidates(daemon);
        if (!mPolicy.rejects(need, mCost, candidates)) {
            String name = request.requestClass().name();
            StreamPlacement placed =
                    mPolicy.predicts(need)
                            ? mCosts.place(daemon, name, need, candidates, mClock.now())
                            : mPolicy.place(need, mCost, candidates, view(daemon));
            AttemptCost cost = mCosts.predict(daemon, name, need, placed, candidates, mClock.now());
            StreamPlacement recorded =
                    mPolicy == PatternPolicy.LEARNED_COST
                            ? placed.withPrefillTimes(cost.prefillFactor())
                            : placed;
            send(new PatternAttempt(request.requestClass(), need, recorded, daemon), request, cost);
        } else if (retries > 0) {
            int other = mRandom.nextInt(mDaemons.size());
            mClock.schedule(RETRY_AFTER_MILLIS, () -> submit(request, other, retries - 1));
        }
    }

    private PatternView view(int daemon) {
        return new PatternView(
                mNextTurn++,
                mFleet.traits(),
                mDaemons.get(daemon).receivedSums().strictStreamTrend(mClock.now()),
                mClock.now(),
                mDrawRandom.nextDouble());
    }

    /** Lets engines work at a third of their published speed. */
    private void slowDown(double fraction) {
        List<EndpointId> ids = new ArrayList<>(mEngines.keySet());
        Collections.sort(ids, Comparator.comparing(EndpointId::value));
        if (fraction > 0) {
            Collections.shuffle(ids, mShuffleRandom::nextLong);
        }
        for (EndpointId id : ids.subList(0, (int) (ids.size() * fraction))) {
            mEngines.get(id).setSpeed(SLOW_SPEED);
            mCosts.setTrueSpeed(mEngines.get(id).endpoint().run(), SLOW_SPEED);
        }
    }

    /** Crashes engines; daemons resend the affected requests once they detect the resets. */
    private void crash(double fraction) {
        List<EndpointId> ids = new ArrayList<>(mEngines.keySet());
        Collections.sort(ids, Comparator.comparing(EndpointId::value));
        Collections.shuffle(ids, mShuffleRandom::nextLong);
        List<EndpointId> crashed = ids.subList(0, (int) (ids.size() * fraction));
        crashed.forEach(id -> mEngines.remove(id).crash());
        List<Map.Entry<PatternRequest, PatternAttempt>> affected =
                mRunning.entrySet().stream().filter(e -> e.getValue().isLostWith(crashed)).toList();
        for (Map.Entry<PatternRequest, PatternAttempt> e : affected) {
            mRunning.remove(e.getKey());
            mClock.schedule(CRASH_DETECTION_MILLIS, () -> resend(e.getKey(), e.getValue()));
        }
    }

    private void resend(PatternRequest request, PatternAttempt failedAttempt) {
        failedAttempt.onEnded(mDaemons.get(failedAttempt.daemon()));
        submit(request, failedAttempt.daemon(), 0);
    }

    private ImmutableList<Candidate> candidates(int daemon) {
        mLimits.fill(mClock.now());
        WorkLedger ledger = mDaemons.get(daemon);
        List<Candidate> candidates = new ArrayList<>();
        mEngines.values().stream()
                .map(BatchingEngine::endpoint)
                .filter(e -> mLimits.accepts(e, mClock.now()))
                .forEach(
                        e ->
                                candidates.add(
                                        new Candidate(
                                                e,
                                                ledger.of(e.id(), mClock.now()),
                                                mLimits.isLimited(e))));
        Collections.shuffle(candidates, mShuffleRandom::nextLong);
        return ImmutableList.copyOf(candidates);
    }

    private void send(PatternAttempt attempt, PatternRequest request, AttemptCost cost) {
        double sentAt = mClock.nowMillis();
        StreamPlacement placed = attempt.placed();
        mRunning.put(request, attempt);
        mLimits.use(placed, mClock.now());
        attempt.onStarted(mDaemons.get(attempt.daemon()));
        double end = attempt.placed().prefillEndMillis() + AttemptWork.PASS.toMillis();
        mClock.schedule(
                end,
                () -> {
                    attempt.onPrefillEnd(mDaemons.get(attempt.daemon()));
                });
        request.startAttempt(
                () -> onFirstEvent(attempt, request, cost, sentAt),
                () -> {
                    mRunning.remove(request);
                    onEnded(attempt);
                });
        mClock.schedule(
                ENGINE_NETWORK_MILLIS,
                () -> engine(placed.first().id()).ifPresent(e -> admit(attempt, request, e)));
    }

    private Optional<BatchingEngine> engine(EndpointId id) {
        return Optional.ofNullable(mEngines.get(id));
    }

    private void prefill(PatternAttempt attempt, PatternRequest request, BatchingEngine first) {
        int parts = attempt.placed().helpers().size() + 1;
        double tokens = (double) request.tokens() / parts;
        BatchingEngine.Part part =
                new BatchingEngine.Part(
                        tokens,
                        mCost.readMillis(request.tokens()) / parts,
                        attempt.need().strict());
        int[] remainingParts = {parts};
        Runnable done =
                () -> {
                    remainingParts[0]--;
                    if (remainingParts[0] == 0 && attempt.equals(mRunning.get(request))) {
                        request.divideContext(attempt.placed().reservations().isEmpty() ? 1 : 2);
                        first.decode(request);
                    }
                };
        first.prefill(part, false, done);
        attempt.placed()
                .helpers()
                .forEach(h -> engine(h.id()).ifPresent(e -> e.prefill(part, true, done)));
    }

    private void admit(PatternAttempt attempt, PatternRequest request, BatchingEngine first) {
        double queuedAt = mClock.nowMillis();
        first.admit(
                () -> {
                    request.delay()
                            .onAdmitted(
                                    mClock.nowMillis() - queuedAt,
                                    first.longPrefillMillis(),
                                    first.shortPrefillMillis());
                    prefill(attempt, request, first);
                });
    }

    private void onFirstEvent(
            PatternAttempt attempt, PatternRequest request, AttemptCost cost, double sentAt) {
        engine(attempt.placed().first().id())
                .ifPresent(
                        e ->
                                request.delay()
                                        .onFirstEvent(
                                                e.longPrefillMillis(),
                                                e.shortPrefillMillis()
                                                        - mCost.readMillis(request.tokens())));
        mClock.schedule(
                ENGINE_NETWORK_MILLIS,
                () -> {
                    attempt.onFirstEvent(mDaemons.get(attempt.daemon()));
                    mCosts.recordFirstEvent(
                            attempt.daemon(), cost, mClock.nowMillis() - sentAt, mClock.now());
                });
    }

    private void onEnded(PatternAttempt attempt) {
        mClock.schedule(
                ENGINE_NETWORK_MILLIS,
                () -> {
                    attempt.onEnded(mDaemons.get(attempt.daemon()));
                });
    }
}
