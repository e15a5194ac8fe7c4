package io.bilberrygrade.serving.entry;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.routing.LeastOutstandingPolicy;
import io.bilberrygrade.core.routing.Mixing;
import io.bilberrygrade.core.routing.PlacementPolicy;
import io.bilberrygrade.core.routing.PredictivePolicy;
import io.bilberrygrade.core.routing.RoundRobinPolicy;
import io.bilberrygrade.serving.atmostonce.AtMostOnceFilter;
import io.bilberrygrade.serving.atmostonce.KeyRouter;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.controller.PlacementController;
import io.bilberrygrade.serving.engine.ModelEngine;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.filter.ClassifyFilter;
import io.bilberrygrade.serving.filter.CompletionDispatcher;
import io.bilberrygrade.serving.filter.CompletionFilter;
import io.bilberrygrade.serving.filter.DeadlineFilter;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.IdentifyFilter;
import io.bilberrygrade.serving.filter.KeyGuardFilter;
import io.bilberrygrade.serving.filter.Patience;
import io.bilberrygrade.serving.filter.ReadinessFilter;
import io.bilberrygrade.serving.gang.GangController;
import io.bilberrygrade.serving.gang.GangDispatcher;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.time.Timers;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;

/** Puts the filter chain together, in the order in which requests pass through it. */
final class RequestPath {
    private final EntrySettings mSettings;
    private final InstantSource mClock;
    private final EventLog mEvents;

    RequestPath(EntrySettings settings, InstantSource clock, EventLog events) {
        mSettings = settings;
        mClock = clock;
        mEvents = events;
    }

    FilterChain chain(
            Incarnation incarnation,
            ModelEngine engine,
            KeyRouter keys,
            GangController stewards,
            EndpointController endpoints,
            DrainController drain,
            Timers timers) {
        PlacementController placement = new PlacementController(endpoints, policy());
        GangDispatcher gangs =
                new GangDispatcher(
                        engine,
                        endpoints,
                        placement,
                        Optional.of(stewards)
                                .filter(s -> mSettings.policy().enabled(Mechanism.GANG_STEWARD)),
                        incarnation,
                        timers,
                        mClock,
                        RandomSource.SPLIT_MIX_64.create(),
                        mEvents);
        CompletionDispatcher dispatcher =
                new CompletionDispatcher(
                        engine,
                        endpoints,
                        placement,
                        gangs,
                        new Patience(mSettings.policy().enabled(Mechanism.EJECTION)),
                        incarnation,
                        timers,
                        mClock,
                        mEvents);
        return new FilterChain(
                ImmutableList.of(
                        new KeyGuardFilter(),
                        new ReadinessFilter(drain),
                        new IdentifyFilter(),
                        new DeadlineFilter(mClock, mSettings.maxDeadline()),
                        new ClassifyFilter(),
                        new CompletionFilter(dispatcher),
                        new AtMostOnceFilter(keys)));
    }

    private PlacementPolicy policy() {
        return switch (mSettings.policy().placement()) {
            case ROUND_ROBIN -> new RoundRobinPolicy();
            case LEAST_OUTSTANDING -> new LeastOutstandingPolicy();
            case PREDICTIVE ->
                    new PredictivePolicy(
                            mSettings.policy().enabled(Mechanism.PREFIX_AFFINITY),
                            Mixing.hash(mSettings.instance().value()));
        };
    }
}
