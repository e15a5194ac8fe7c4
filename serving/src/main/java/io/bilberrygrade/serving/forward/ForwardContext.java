package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.contention.AdmissionController;
import io.bilberrygrade.serving.cost.CostController;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.relay.ReachController;
import io.bilberrygrade.serving.relay.RelayAuthenticator;
import io.bilberrygrade.serving.time.Timers;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Collaborators of a {@link ForwardOperation} and its attempts. */
record ForwardContext(
        StateController state,
        EndpointTracker tracker,
        EndpointStatusUpdater endpointStatus,
        AttemptPlanner planner,
        RetryBudgets budgets,
        EndpointClient client,
        MemoryReservations memory,
        PermitSource permits,
        QuarantineController quarantine,
        CrashDetector crashes,
        CostController cost,
        Clocks clocks,
        Timers timers,
        UniformRandomProvider random,
        EventLog events,
        Supplier<FleetTraits> traits,
        AdmissionController admission,
        ForwardProtocol protocol,
        ReachController reach,
        RelayAuthenticator relayAuthenticator) {}
