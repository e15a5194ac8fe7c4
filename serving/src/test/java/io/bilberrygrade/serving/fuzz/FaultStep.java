package io.bilberrygrade.serving.fuzz;

/** One step of a simulation: something that a caller, an operator or a fault does. */
sealed interface FaultStep {
    /** Lets time pass. */
    record Advance(int millis) implements FaultStep {}

    /** A caller asks a daemon for a key. */
    record IssueKey(int daemon) implements FaultStep {}

    /** A caller submits the call under one of the latest keys, counted from the newest. */
    record Submit(int daemon, int keyAge, int timeoutMillis) implements FaultStep {}

    /** A caller asks for a completion. */
    record Complete(int daemon, int tokens, int timeoutMillis) implements FaultStep {}

    /** The caller of one of the latest requests goes away. */
    record LeaveCaller(int requestAge) implements FaultStep {}

    /** A daemon dies. */
    record Kill(int daemon) implements FaultStep {}

    /** A dead daemon starts again and remembers nothing. */
    record Restart(int daemon) implements FaultStep {}

    /** A daemon stands still and wakes late. */
    record Pause(int daemon, int millis) implements FaultStep {}

    /** A daemon is asked to shut down. */
    record ShutDown(int daemon) implements FaultStep {}

    /** Messages of one daemon to another are lost. */
    record Cut(int from, int to) implements FaultStep {}

    /** Messages between daemons arrive twice. */
    record DoubleMessages() implements FaultStep {}

    /** The network is whole again. */
    record HealNetwork() implements FaultStep {}

    /** The plain service changes its behaviour. */
    record ServiceFault(SimulatedService.ServiceMode mode) implements FaultStep {}

    /** An engine changes its behaviour. */
    record EngineFault(int engine, SimulatedEngine.EngineMode mode) implements FaultStep {}

    /** Operators publish a configuration. */
    record Publish(boolean valid) implements FaultStep {}

    /** The platform is down or up again. */
    record PlatformDown(boolean down) implements FaultStep {}

    /** The platform answers with an old configuration, or ends that. */
    record PlatformStale(boolean stale) implements FaultStep {}

    /** Returns whether the step injects a fault. */
    default boolean fault() {
        return switch (this) {
            case Advance a -> false;
            case IssueKey i -> false;
            case Submit s -> false;
            case Complete c -> false;
            case HealNetwork h -> false;
            case Publish p -> !p.valid();
            case ServiceFault s -> s.mode() != SimulatedService.ServiceMode.HEALTHY;
            case EngineFault e -> e.mode() != SimulatedEngine.EngineMode.HEALTHY;
            default -> true;
        };
    }
}
