package io.bilberrygrade.standins.routing;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.Model;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.core.routing.PlacementPolicy;
import io.bilberrygrade.serving.controller.Dispatch;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.standins.engine.EngineScheduler;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.engine.JobListener;
import io.bilberrygrade.standins.engine.JobSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Open-loop simulation of a daemon's placement on stand-in engines in virtual time. One prompt in
 * fifty is long; the short prompts and their arrivals are the same with and without the long ones.
 */
final class LaneSimulation {
    private static final ModelId MODEL = new ModelId("m");
    private static final int ENGINES = 16;
    private static final int DATA_CENTRES = 3;
    private static final Duration STEP = Duration.ofMillis(2);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(200);
    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(1);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration ARRIVAL_PERIOD = Duration.ofMinutes(2);
    private static final Duration SIMULATION_LENGTH = Duration.ofMinutes(4);
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int LONG_ONE_IN = 50;
    private static final int MIN_SHORT_TOKENS = 1_000;
    private static final int MAX_SHORT_TOKENS = 12_000;
    private static final int MIN_LONG_TOKENS = 100_000;
    private static final int MAX_LONG_TOKENS = 380_000;
    private static final int ANSWER_TOKENS = 50;
    private static final WorkClass QUICK = workClass("quick", 1_500, 0.6);
    private static final WorkClass AUDIT = workClass("audit", 30_000, 0.4);

    private final List<EngineScheduler> mEngines = new ArrayList<>();
    private final List<Double> mShortMillis = new ArrayList<>();
    private final List<Double> mLongMillis = new ArrayList<>();
    private final Deployment mDeployment = deployment();
    private final EndpointController mEndpoints;
    private final PlacementController mPlacement;
    private final UniformRandomProvider mRandom;
    private final boolean mWithLong;
    private final double mMeanGapMillis;
    private Instant mNow = START;

    LaneSimulation(
            PlacementPolicy policy,
            PolicySettings settings,
            boolean withLong,
            double load,
            long seed) {
        mEndpoints = new EndpointController(new InstanceId("entry-1"), settings);
        mEndpoints.onDeployment(mDeployment);
        mPlacement = new PlacementController(mEndpoints, policy);
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        mWithLong = withLong;
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(new EngineScheduler(EngineSettings.defaults("m"), "e" + i, i));
        }
        double longTokens = (MIN_LONG_TOKENS + MAX_LONG_TOKENS) / 2.0;
        double shortTokens = (MIN_SHORT_TOKENS + MAX_SHORT_TOKENS) / 2.0;
        double mean = shortTokens + (longTokens - shortTokens) / LONG_ONE_IN;
        double capacity = ENGINES * EngineSettings.defaults("m").prefillRate();
        mMeanGapMillis = 1_000 * mean / (capacity * load);
    }

    /** Runs the simulation and returns the p95 of the short prompts' time to first token in ms. */
    double run() {
        double nextArrival = 0;
        int number = 0;
        for (long millis = 0; millis < SIMULATION_LENGTH.toMillis(); millis += STEP.toMillis()) {
            mNow = START.plusMillis(millis);
            while (nextArrival <= millis && millis < ARRIVAL_PERIOD.toMillis()) {
                arrive(number++);
                nextArrival -= mMeanGapMillis * Math.log(1 - mRandom.nextDouble());
            }
            mEngines.forEach(e -> e.advance(mNow, STEP));
            if (millis % REPORT_PERIOD.toMillis() == 0) {
                report();
            }
            if (millis % RENEWAL_PERIOD.toMillis() == 0) {
                mEndpoints.recompute(1, mNow);
            }
        }
        return percentile95(mShortMillis);
    }

    /** Returns the p95 of the long prompts' time to first token in milliseconds. */
    double longP95Millis() {
        return percentile95(mLongMillis);
    }

    private void arrive(int number) {
        boolean isLong = mRandom.nextInt(LONG_ONE_IN) == 0;
        int low = isLong ? MIN_LONG_TOKENS : MIN_SHORT_TOKENS;
        int high = isLong ? MAX_LONG_TOKENS : MAX_SHORT_TOKENS;
        int tokens = low + mRandom.nextInt(high - low);
        if (isLong && !mWithLong) {
            return;
        }
        InferenceRequest request = request(number, isLong ? AUDIT : QUICK, tokens);
        Optional<Placement> placed = mPlacement.place(mDeployment, request, mNow);
        placed.ifPresent(p -> submit(request, p, isLong));
    }

    private void submit(InferenceRequest request, Placement placement, boolean isLong) {
        EndpointId id = placement.endpoint().endpoint().id();
        Dispatch dispatch =
                mEndpoints.recordDispatch(mDeployment, MODEL, placement, request.prompt(), mNow);
        int engine = Integer.parseInt(id.value());
        JobSpec spec =
                new JobSpec(
                        request.id().value(),
                        1,
                        1,
                        placement.priority(),
                        request.prompt().tokens(),
                        ANSWER_TOKENS,
                        0,
                        request.deadline(),
                        List.of(),
                        Optional.empty(),
                        0);
        mEngines.get(engine).submit(mNow, spec, new Listener(dispatch, mNow, isLong));
    }

    private void report() {
        for (int i = 0; i < ENGINES; i++) {
            LoadDocument load = mEngines.get(i).load();
            mEndpoints.recordLoad(new EndpointId(Integer.toString(i)), load, mNow);
        }
    }

    private InferenceRequest request(int number, WorkClass workClass, int tokens) {
        return new InferenceRequest(
                new RequestId("r" + number),
                new TeamId("t"),
                workClass,
                MODEL,
                new Prompt(tokens, ANSWER_TOKENS, ImmutableLongArray.of()),
                mNow,
                mNow.plus(SIMULATION_LENGTH),
                1);
    }

    private static double percentile95(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) (sorted.size() * 0.95));
    }

    private static WorkClass workClass(String id, long millis, double share) {
        return new WorkClass(new WorkClassId(id), Duration.ofMillis(millis), share);
    }

    private static Deployment deployment() {
        ImmutableMap.Builder<EndpointId, Endpoint> endpoints = ImmutableMap.builder();
        for (int i = 0; i < ENGINES; i++) {
            EndpointId id = new EndpointId(Integer.toString(i));
            endpoints.put(
                    id,
                    new Endpoint(
                            id,
                            new DataCentreId("dc-" + i % DATA_CENTRES),
                            new Address("127.0.0.1", i + 1),
                            new EndpointKind.Engine(ImmutableSet.of(MODEL), 400_000, true)));
        }
        return new Deployment(
                1,
                ImmutableMap.of(QUICK.id(), QUICK, AUDIT.id(), AUDIT),
                ImmutableMap.of(),
                ImmutableMap.of(MODEL, new Model(MODEL, 1, ImmutableSet.of())),
                endpoints.buildOrThrow());
    }

    /** Records times to first token of requests sent after the warm-up. */
    private final class Listener implements JobListener {
        private final Dispatch mDispatch;
        private final Instant mSentAt;
        private final boolean mIsLong;
        private boolean mAwaitsFirstToken = true;

        Listener(Dispatch dispatch, Instant sentAt, boolean isLong) {
            mDispatch = dispatch;
            mSentAt = sentAt;
            mIsLong = isLong;
        }

        @Override
        public void tokens(int offset, int count) {
            if (!mAwaitsFirstToken) {
                return;
            }
            mAwaitsFirstToken = false;
            mDispatch.firstToken(mNow);
            if (mSentAt.isAfter(START.plus(WARM_UP))) {
                double millis = Duration.between(mSentAt, mNow).toNanos() / 1e6;
                (mIsLong ? mLongMillis : mShortMillis).add(millis);
            }
        }

        @Override
        public void finished() {
            mDispatch.ended(mNow);
        }

        @Override
        public void refused(String reason) {
            mDispatch.ended(mNow);
        }

        @Override
        public void failed(String reason) {
            mDispatch.ended(mNow);
        }
    }
}
