package io.bilberrygrade.serving.event;

/** Events of single requests. */
public sealed interface RequestEvent extends Event {
    /** A request ended with its complete answer. */
    @EventInfo(number = 5001, level = EventLevel.DEBUG)
    record Done(String request, String team, String workClass, int tokens, long millis)
            implements RequestEvent {}

    /** A request was refused and did not run. */
    @EventInfo(number = 5002, level = EventLevel.DEBUG)
    record NotRun(String request, String step, String reason, String detail)
            implements RequestEvent {}

    /** A request's outcome is unknown. */
    @EventInfo(number = 5003, level = EventLevel.WARN)
    record Unknown(String request, String step, String reason, String detail)
            implements RequestEvent {}

    /** An attempt failed and the request continues on another endpoint. */
    @EventInfo(number = 5004, level = EventLevel.INFO)
    record AttemptFailed(String request, int attempt, String endpoint, int offset, String error)
            implements RequestEvent {}

    /** A gang of engines holds its reservations and starts to prefill a prompt. */
    @EventInfo(number = 5020, level = EventLevel.INFO)
    record GangStarted(String request, int attempt, String dataCentre, String engines)
            implements RequestEvent {}

    /** A reservation could not be released; the engine holds it until it is reclaimed. */
    @EventInfo(number = 5021, level = EventLevel.WARN)
    record ReservationLeftBehind(String request, String endpoint, String reservation, String error)
            implements RequestEvent {}
}
