package io.bilberrygrade.bench;

import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.routing.StableHash;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.core.routing.PredictivePolicy;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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

/** Measures the time of one placement decision for several fleet sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class PlacementBenchmark {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int REQUEST_COUNT = 4_096;
    private static final int PREFIX_COUNT = 64;
    private static final int BLOCKS_PER_PREFIX = 16;
    private static final int PROMPT_TOKENS = 20_000;

    @Param({"16", "64", "256", "600"})
    private int mEngines;

    private final PredictivePolicy mPolicy = new PredictivePolicy(true, 1);
    private final InferenceRequest[] mRequests = new InferenceRequest[REQUEST_COUNT];
    private BenchFleet mFleet;
    private int mNext;

    /** Creates the engines and requests that share a few prefixes. */
    @Setup
    public void setUp() {
        mFleet = new BenchFleet(mEngines, NOW);
        for (int i = 0; i < REQUEST_COUNT; i++) {
            mRequests[i] = request(i);
            mFleet.prefixes()
                    .prefilled(
                            mFleet.layout().engines().get(i % mEngines).id(),
                            mRequests[i].prompt());
        }
    }

    /** Places one request. */
    @Benchmark
    public Optional<Placement> place() {
        mNext = (mNext + 1) % REQUEST_COUNT;
        return mPolicy.place(mRequests[mNext], mFleet, NOW);
    }

    private static InferenceRequest request(int number) {
        ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
        for (int i = 0; i < BLOCKS_PER_PREFIX; i++) {
            hashes.add(StableHash.mix(number % PREFIX_COUNT, i));
        }
        return new InferenceRequest(
                new RequestId("entry-1-1-" + number),
                new TeamId("t"),
                new WorkClass(new WorkClassId("c"), Duration.ofMillis(1_500), 1),
                BenchFleet.MODEL,
                new Prompt(PROMPT_TOKENS, 100, hashes.build()),
                NOW,
                NOW.plusSeconds(60),
                1);
    }
}
