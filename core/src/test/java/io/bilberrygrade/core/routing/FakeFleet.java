package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.lane.LanePlan;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Prompt;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Engines with settable views, spread over three data centres. */
public final class FakeFleet implements EngineFleet {
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    public static final double RATE = 40_000;
    public static final long MEMORY_TOKENS = 400_000;

    private static final ModelId MODEL = new ModelId("m");

    private final Map<EndpointId, EndpointView> mViews = new HashMap<>();
    private final PrefixIndex mPrefixes = new PrefixIndex();
    private FleetLayout mLayout;

    /** Creates idle engines. */
    public FakeFleet(int engines) {
        ImmutableList<Endpoint> all = engines(engines);
        mLayout = FleetLayout.of(all, all, lanes(ImmutableSet.of()));
        all.forEach(e -> set(e, 0, 0, true));
    }

    /** Returns engines that are distributed over three data centres. */
    public static ImmutableList<Endpoint> engines(int count) {
        ImmutableList.Builder<Endpoint> engines = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            engines.add(
                    new Endpoint(
                            new EndpointId("engine-" + i),
                            new DataCentreId("dc-" + i % 3),
                            new Address("127.0.0.1", 1 + i),
                            new EndpointKind.Engine(ImmutableSet.of(MODEL), MEMORY_TOKENS, true)));
        }
        return engines.build();
    }

    /** Returns a request with a deadline of a minute. */
    public static InferenceRequest request(String id, int tokens, long... hashes) {
        return new InferenceRequest(
                new RequestId(id),
                new TeamId("t"),
                new WorkClass(new WorkClassId("c"), Duration.ofSeconds(1), 1),
                MODEL,
                new Prompt(tokens, 100, ImmutableLongArray.copyOf(hashes)),
                START,
                START.plusSeconds(60),
                1);
    }

    /** Sets the view of an engine. */
    public void set(Endpoint engine, long shortTokens, long longTokens, boolean available) {
        mViews.put(
                engine.id(),
                new EndpointView(
                        engine,
                        available,
                        new Backlog(shortTokens, longTokens),
                        PrefillRate.prior(RATE),
                        MEMORY_TOKENS,
                        0,
                        0));
    }

    /** Confines long work to the given engines. */
    public void confine(ImmutableSet<EndpointId> engines) {
        mLayout = mLayout.with(lanes(engines));
    }

    private static LanePlan lanes(ImmutableSet<EndpointId> confinedTo) {
        return new LanePlan(Duration.ofSeconds(1), RATE, confinedTo);
    }

    /** Returns the engines. */
    public ImmutableList<Endpoint> engines() {
        return mLayout.engines();
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
        return mViews.get(engine.id());
    }
}
