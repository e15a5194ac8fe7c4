package io.bilberrygrade.serving.entry;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.routing.LeastOutstandingPolicy;
import io.bilberrygrade.core.routing.PlacementPolicy;
import io.bilberrygrade.core.routing.PredictivePolicy;
import io.bilberrygrade.core.routing.RoundRobinPolicy;
import io.bilberrygrade.core.routing.StableHash;
import io.bilberrygrade.serving.atmostonce.AtMostOnceFilter;
import io.bilberrygrade.serving.atmostonce.KeyRouter;
import io.bilberrygrade.serving.controller.AdmissionController;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.controller.ShareController;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.filter.ClassifyFilter;
import io.bilberrygrade.serving.filter.CompletionDispatcher;
import io.bilberrygrade.serving.filter.CompletionFilter;
import io.bilberrygrade.serving.filter.DeadlineFilter;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.FirstTokenTimeout;
import io.bilberrygrade.serving.filter.IdentifyFilter;
import io.bilberrygrade.serving.filter.KeyGuardFilter;
import io.bilberrygrade.serving.filter.ReadinessFilter;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.gang.GangDispatcher;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.time.Timers;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Creates the filter chain, in the order in which requests pass through it. */
public final class FilterChainFactory {
    private final EntrySettings mSettings;
    private final InstantSource mClock;
    private final EventLog mEvents;

    /** Creates the factory for a daemon with the given settings. */
    public FilterChainFactory(EntrySettings settings, InstantSource clock, EventLog events) {
        mSettings = settings;
        mClock = clock;
        mEvents = events;
    }

    /** Returns a chain that uses the given parts of a daemon. */
    public FilterChain<Exchange> chain(Parts parts) {
        return new FilterChain<>(
                ImmutableList.of(
                        new KeyGuardFilter(mSettings.policy().isEnabled(Mechanism.KEY_GUARD)),
                        new ReadinessFilter(parts.drain()),
                        new IdentifyFilter(),
                        new DeadlineFilter(mClock, mSettings.maxDeadline()),
                        new ClassifyFilter(),
                        new CompletionFilter(createDispatcher(parts)),
                        new AtMostOnceFilter(parts.keys())));
    }

    private CompletionDispatcher createDispatcher(Parts parts) {
        PlacementController placement =
                new PlacementController(parts.endpoints(), createPlacementPolicy());
        return new CompletionDispatcher(
                parts.engine(),
                parts.endpoints(),
                placement,
                createGangDispatcher(parts, placement),
                new FirstTokenTimeout(mSettings.policy().isEnabled(Mechanism.EJECTION)),
                new AdmissionController(
                        placement,
                        parts.shares(),
                        parts.drain(),
                        mSettings.policy(),
                        parts.random()),
                parts.incarnation(),
                parts.timers(),
                mClock,
                mEvents,
                mSettings.policy().isEnabled(Mechanism.RESUME));
    }

    private GangDispatcher createGangDispatcher(Parts parts, PlacementController placement) {
        return new GangDispatcher(
                parts.engine(),
                parts.endpoints(),
                placement,
                Optional.of(parts.stewards())
                        .filter(s -> mSettings.policy().isEnabled(Mechanism.GANG_STEWARD)),
                parts.incarnation(),
                parts.timers(),
                mClock,
                parts.random(),
                mEvents);
    }

    private PlacementPolicy createPlacementPolicy() {
        return switch (mSettings.policy().placement()) {
            case ROUND_ROBIN -> new RoundRobinPolicy();
            case LEAST_OUTSTANDING -> new LeastOutstandingPolicy();
            case PREDICTIVE ->
                    new PredictivePolicy(
                            mSettings.policy().isEnabled(Mechanism.PREFIX_AFFINITY),
                            StableHash.hash(mSettings.instance().value()));
        };
    }

    /** Objects of a daemon that the filters use. */
    public record Parts(
            Incarnation incarnation,
            ModelEngine engine,
            KeyRouter keys,
            GangController stewards,
            EndpointController endpoints,
            ShareController shares,
            DrainController drain,
            Timers timers,
            UniformRandomProvider random) {}
}
