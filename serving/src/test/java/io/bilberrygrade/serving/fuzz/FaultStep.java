package io.bilberrygrade.serving.fuzz;

/** One step of a simulation: an action of a caller or an operator, or a fault. */
sealed interface FaultStep {
    /** Simulated time advances. */
    record Advance(int millis) implements FaultStep {}

    /** A caller requests an idempotency key from a daemon. */
    record IssueKey(int daemon) implements FaultStep {}

    /** A caller submits a call under a recent key; age 0 is the latest key. */
    record Submit(int daemon, int keyAge, int timeoutMillis) implements FaultStep {}

    /** A caller requests a completion. */
    record Complete(int daemon, int tokens, int timeoutMillis) implements FaultStep {}

    /** The caller of a recent request disconnects; age 0 is the latest request. */
    record LeaveCaller(int requestAge) implements FaultStep {}

    /** A daemon is killed. */
    record Kill(int daemon) implements FaultStep {}

    /** A killed daemon restarts without state. */
    record Restart(int daemon) implements FaultStep {}

    /** A daemon is suspended for a time, and its due actions run late. */
    record Pause(int daemon, int millis) implements FaultStep {}

    /** A daemon is asked to shut down. */
    record ShutDown(int daemon) implements FaultStep {}

    /** All messages from one daemon to another are lost. */
    record Cut(int from, int to) implements FaultStep {}

    /** Messages between daemons are delivered twice. */
    record DoubleMessages() implements FaultStep {}

    /** All network faults end. */
    record HealNetwork() implements FaultStep {}

    /** The plain service changes its behaviour. */
    record ServiceFault(SimulatedService.ServiceMode mode) implements FaultStep {}

    /** An engine changes its behaviour. */
    record EngineFault(int engine, SimulatedEngine.EngineMode mode) implements FaultStep {}

    /** Operators publish a configuration. */
    record Publish(boolean valid) implements FaultStep {}

    /** The platform fails or recovers. */
    record PlatformDown(boolean down) implements FaultStep {}

    /** The platform starts or stops serving an outdated configuration. */
    record PlatformStale(boolean stale) implements FaultStep {}

    /** Returns whether the step injects a fault. */
    default boolean isFault() {
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
