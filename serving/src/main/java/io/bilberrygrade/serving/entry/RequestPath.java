package io.bilberrygrade.serving.entry;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.routing.LeastOutstandingPolicy;
import io.bilberrygrade.core.routing.PlacementPolicy;
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
import io.bilberrygrade.serving.filter.ReadinessFilter;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.time.Timers;
import java.time.InstantSource;

/** Puts the filter chain together, in the order in which requests pass through it. */
public final class RequestPath {
    private final EntrySettings mSettings;
    private final InstantSource mClock;
    private final EventLog mEvents;

    /** Creates the path of a daemon with the given settings. */
    public RequestPath(EntrySettings settings, InstantSource clock, EventLog events) {
        mSettings = settings;
        mClock = clock;
        mEvents = events;
    }

    /** Returns the chain over the parts of a daemon. */
    public FilterChain chain(
            Incarnation incarnation,
            ModelEngine engine,
            KeyRouter keys,
            EndpointController endpoints,
            DrainController drain,
            Timers timers) {
        CompletionDispatcher dispatcher =
                new CompletionDispatcher(
                        engine,
                        endpoints,
                        new PlacementController(endpoints, policy()),
                        incarnation,
                        timers,
                        mClock,
                        mEvents,
                        mSettings.policy().enabled(Mechanism.RESUME));
        return new FilterChain(
                ImmutableList.of(
                        new KeyGuardFilter(mSettings.policy().enabled(Mechanism.KEY_GUARD)),
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
            case LEAST_OUTSTANDING, PREDICTIVE -> new LeastOutstandingPolicy();
        };
    }
}
