package io.bilberrygrade.standins.load.pattern;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.exchange.FleetMember;
import io.bilberrygrade.core.exchange.WorkLedger;
import io.bilberrygrade.core.exchange.WorkSums;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
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

    private static final double DRAIN_MILLIS = 15_000;

    /** One-way network time between daemons. */
    private static final double PEER_NETWORK_MILLIS = 2;

    /** Span over which daemons spread their first exchanges, so that they aren't synchronised. */
    private static final int FIRST_EXCHANGE_SPREAD_MILLIS = 100;

    private static final FleetMember AGGREGATOR = new FleetMember(new Address("127.0.0.1", 1), 1);

    /** Keeps the draws independent of the arrivals, whose generator has the seed itself. */
    private static final long DRAW_SEED_OFFSET = 1_000_000;

    private final PatternPolicy mPolicy;
    private final FleetProfile mFleet;
    private final EngineCost mCost;
    private final VirtualClock mClock = new VirtualClock();
    private final Map<EndpointId, BatchingEngine> mEngines = new HashMap<>();
    private final List<WorkLedger> mDaemons = new ArrayList<>();
    private final WorkSums mWorkSums = new WorkSums();
    private final PatternLimits mLimits = new PatternLimits();
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
        mFleet.classes().forEach(c -> scheduleArrivals(pattern, c));
        for (int daemon = 0; daemon < mDaemons.size(); daemon++) {
            int number = daemon;
            mClock.schedule(
                    mShuffleRandom.nextInt(FIRST_EXCHANGE_SPREAD_MILLIS), () -> exchange(number));
        }
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
            StreamPlacement placed = mPolicy.place(need, mCost, candidates, view(daemon));
            send(new PatternAttempt(request.requestClass(), need, placed, daemon), request);
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

    private void send(PatternAttempt attempt, PatternRequest request) {
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
                () -> onFirstEvent(attempt, request),
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

    private void onFirstEvent(PatternAttempt attempt, PatternRequest request) {
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
                });
    }

    private void onEnded(PatternAttempt attempt) {
        mClock.schedule(
                ENGINE_NETWORK_MILLIS,
                () -> {
                    attempt.onEnded(mDaemons.get(attempt.daemon()));
                });
    }

    /**
     * Reports a daemon's work to the aggregator, fetches the sums and schedules the next exchange.
     */
    private void exchange(int daemon) {
        WorkLedger ledger = mDaemons.get(daemon);
        ImmutableMap<EndpointId, EndpointWork> own = ledger.ownWork();
        long version = ledger.receivedSums().version(AGGREGATOR);
        mClock.schedule(
                PEER_NETWORK_MILLIS,
                () -> {
                    mWorkSums.recordReport(new Address("127.0.0.1", daemon + 1), own, mClock.now());
                    WorkSums.Update update = mWorkSums.since(version, mClock.now());
                    mClock.schedule(
                            PEER_NETWORK_MILLIS,
                            () ->
                                    ledger.receivedSums()
                                            .apply(AGGREGATOR, version, update, own, mClock.now()));
                });
        mClock.schedule((double) mFleet.exchangeMillis(), () -> exchange(daemon));
    }
}
