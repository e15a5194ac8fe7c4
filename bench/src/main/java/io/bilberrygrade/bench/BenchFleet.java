package io.bilberrygrade.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.lane.LanePlan;
import io.bilberrygrade.core.lane.LongEngines;
import io.bilberrygrade.core.routing.BacklogEstimator;
import io.bilberrygrade.core.routing.EndpointLoad;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.core.routing.EngineFleet;
import io.bilberrygrade.core.routing.FleetLayout;
import io.bilberrygrade.core.routing.OwnDispatch;
import io.bilberrygrade.core.routing.PrefillRate;
import io.bilberrygrade.core.routing.PrefixIndex;
import io.bilberrygrade.core.routing.WatchedEngines;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Fleet of engines with random load reports and own dispatches. Recomputes each view on every call.
 */
final class BenchFleet implements EngineFleet {
    static final ModelId MODEL = new ModelId("m");

    private static final PrefillRate RATE = PrefillRate.prior(40_000);
    private static final int OWN_DISPATCHES = 4;
    private static final int DATA_CENTRES = 3;
    private static final int MEMORY_TOKENS = 400_000;
    private static final int LIVE_DAEMONS = 5;
    private static final Duration TARGET = Duration.ofMillis(1_500);

    private final FleetLayout mLayout;
    private final PrefixIndex mPrefixes = new PrefixIndex();
    private final Map<EndpointId, EndpointLoad> mLoads = new HashMap<>();
    private final Map<EndpointId, ImmutableList<OwnDispatch>> mOwn = new HashMap<>();

    BenchFleet(int engines, Instant now) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);
        ImmutableList.Builder<Endpoint> builder = ImmutableList.builder();
        for (int i = 0; i < engines; i++) {
            builder.add(engine(i));
        }
        ImmutableList<Endpoint> endpoints = builder.build();
        ImmutableSet<EndpointId> confinedTo = LongEngines.choose(endpoints, engines / 4);
        mLayout =
                FleetLayout.of(
                        endpoints,
                        WatchedEngines.of(new InstanceId("entry-1"), endpoints),
                        new LanePlan(TARGET, RATE.tokensPerSecond(), confinedTo));
        endpoints.forEach(e -> fill(e, random, now));
    }

    private void fill(Endpoint engine, UniformRandomProvider random, Instant now) {
        long queued = random.nextInt(100_000);
        Instant measured = now.minusMillis(random.nextInt(1_000));
        mLoads.put(engine.id(), new EndpointLoad(queued, queued / 2, 4, MEMORY_TOKENS, measured));
        ImmutableList.Builder<OwnDispatch> own = ImmutableList.builder();
        for (int i = 0; i < OWN_DISPATCHES; i++) {
            Instant sent = now.minusMillis(random.nextInt(1_000));
            own.add(new OwnDispatch(Lane.SHORT, random.nextInt(8_000), sent, Optional.empty()));
        }
        mOwn.put(engine.id(), own.build());
    }

    private static Endpoint engine(int number) {
        return new Endpoint(
                new EndpointId("engine-" + number),
                new DataCentreId("dc-" + number % DATA_CENTRES),
                new Address("127.0.0.1", 1 + number),
                new EndpointKind.Engine(ImmutableSet.of(MODEL), MEMORY_TOKENS, true));
    }

    @Override
    public FleetLayout layout() {
        return mLayout;
    }

    @Override
    public PrefixIndex prefixes() {
        return mPrefixes;
    }

    @Override
    public EndpointView view(Endpoint engine, Instant now) {
        EndpointLoad load = mLoads.get(engine.id());
        return new EndpointView(
                engine,
                true,
                BacklogEstimator.estimate(load, mOwn.get(engine.id()), RATE, LIVE_DAEMONS, now),
                RATE,
                load.freeTokens(),
                load.runningRequests(),
                OWN_DISPATCHES);
    }
}
