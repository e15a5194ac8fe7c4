package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.time.Timers;
import org.apache.commons.rng.UniformRandomProvider;

/** What the sending of requests works with. */
record ForwardParts(
        StateController state,
        EndpointBook book,
        SendPlanner planner,
        RetryBudgets budgets,
        EndpointClient client,
        MemoryReservations memory,
        Clocks clocks,
        Timers timers,
        UniformRandomProvider random,
        EventLog events) {}
