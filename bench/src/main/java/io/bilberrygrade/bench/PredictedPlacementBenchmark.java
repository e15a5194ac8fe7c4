package io.bilberrygrade.bench;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.cost.EndpointSpeed;
import io.bilberrygrade.core.cost.PredictedPlacement;
import io.bilberrygrade.core.forward.Candidate;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.EngineCost;
import io.bilberrygrade.core.forward.PromptShape;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.forward.StreamPlacement;
import io.bilberrygrade.core.forward.StreamPlacementPolicy;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures placement by predicted completion against the earlier order of strict streams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class PredictedPlacementBenchmark {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final DataCentreId HERE = new DataCentreId("dc-0");
    private static final EngineCost COST =
            new EngineCost(8, 450_000, 52, 0.925, 0.00483, 0.00254, 256, 0.0917, 2_048);
    private static final StreamNeed NEED =
            StreamNeed.of(
                    new PromptShape(5_000, 200),
                    Duration.ofMillis(300),
                    Optional.of(Duration.ofMillis(250)));
    private static final double OWN_MILLIS = 50;

    @Param({"64", "600"})
    private int mEndpoints;

    /** Calls in flight at each endpoint; with 8, no engine has a free slot. */
    @Param({"4", "8"})
    private int mCalls;

    private final EndpointSpeed mSpeeds = new EndpointSpeed();
    private ImmutableList<Candidate> mCandidates;

    /** Creates the endpoints with learned speeds. */
    @Setup
    public void setUp() {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);
        ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
        for (int i = 0; i < mEndpoints; i++) {
            RegisteredEndpoint endpoint =
                    new RegisteredEndpoint(
                            new EndpointId("engine-" + i),
                            1,
                            new ServiceId("s"),
                            new Address("127.0.0.1", 1 + i),
                            new DataCentreId("dc-" + i % 3),
                            COST.slots(),
                            false);
            mSpeeds.recordRatio(endpoint.run(), 0.5 + random.nextDouble(), NOW);
            candidates.add(
                    new Candidate(
                            endpoint, new EndpointWork(mCalls, random.nextInt(50), 2, 2, 20_000)));
        }
        mCandidates = candidates.build();
    }

    /** Places a strict stream by least prefill. */
    @Benchmark
    public Optional<StreamPlacement> streamByPrefill() {
        return StreamPlacementPolicy.place(NEED, COST, mCandidates);
    }

    /** Places a strict stream by predicted completion. */
    @Benchmark
    public Optional<StreamPlacement> streamByCompletion() {
        return StreamPlacementPolicy.place(
                NEED,
                COST,
                mCandidates,
                PredictedPlacement.streamOrder(
                        COST, NEED.prompt().promptTokens(), 1.2, mSpeeds::of));
    }

    /** Places a request to a plain service by predicted completion. */
    @Benchmark
    public Optional<RegisteredEndpoint> plainByCompletion() {
        return PredictedPlacement.plain(HERE, mCandidates, OWN_MILLIS, mSpeeds::of);
    }
}
