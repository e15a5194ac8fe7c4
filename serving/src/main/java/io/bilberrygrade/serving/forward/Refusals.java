package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.contention.AdmissionDecision;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.contention.Admission;
import io.bilberrygrade.serving.contention.Arrival;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;

/** Refusals that several filters return. */
final class Refusals {
    /**
     * Age of the last confirmation up to which a refusal by the configuration is certain; slightly
     * above the interval of confirmations.
     */
    private static final Duration CONFIG_CERTAINTY_AGE = Duration.ofMillis(3_200);

    /** Detail of answers to requests that the planned stop of this instance has ended. */
    static final String STOPPING = "this instance is about to stop";

    private Refusals() {}

    /**
     * Returns the refusal of a request that would delay too many others or can't be served, before
     * anything of it was sent. A resumed stream is never refused here, since a part of its answer
     * would be lost.
     */
    static Optional<Outcome> onArrival(
            ForwardContext context, ForwardExchange exchange, ForwardService service) {
        Instant now = context.clocks().now();
        if (context.planner()
                .shouldRefuse(
                        exchange.route(), Optional.of(service), exchange.head().prompt(), now)) {
            return Optional.of(
                    Outcome.notRun(
                            Step.ROUTE,
                            Reason.OVERLOADED,
                            "engines could not read it in time beside what they read"));
        }
        if (exchange.head().resumeAfter().isPresent() || !context.traits().get().any()) {
            return Optional.empty();
        }
        Optional<Admission> admission =
                context.admission()
                        .decide(
                                arrival(exchange, service, now),
                                context.tracker().candidates(service.id(), now),
                                context.tracker()
                                        .work()
                                        .receivedSums()
                                        .age(now)
                                        .orElse(Duration.ZERO),
                                now);
        exchange.setAdmission(admission);
        return admission.flatMap(a -> refusal(a.decision()));
    }

    private static Arrival arrival(ForwardExchange exchange, ForwardService service, Instant now) {
        return new Arrival(
                exchange.id().value(),
                exchange.route(),
                service,
                exchange.rank(),
                exchange.team(),
                exchange.head().prompt(),
                exchange.body().length(),
                Duration.between(now, exchange.deadline()),
                () -> RequestDigest.of(exchange.head(), exchange.team(), exchange.body()));
    }

    private static Optional<Outcome> refusal(AdmissionDecision decision) {
        return switch (decision) {
            case AdmissionDecision.Admit a -> Optional.empty();
            case AdmissionDecision.Refuse r ->
                    Optional.of(
                            Outcome.notRun(
                                    Step.ROUTE,
                                    Reason.OUTRANKED,
                                    r.cause().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                                    r.retryAfter()));
        };
    }

    static Uni<Outcome> notRun(Step step, Reason reason, String detail) {
        return Uni.createFrom().item(Outcome.notRun(step, reason, detail));
    }

    /**
     * Refuses for the given reason, or as stale while a newer configuration might allow the
     * request.
     */
    static Uni<Outcome> notRunUnlessStale(
            StateController state, Step step, Reason reason, String detail) {
        boolean isCertain =
                state.confirmationAge()
                        .filter(a -> a.compareTo(CONFIG_CERTAINTY_AGE) < 0)
                        .isPresent();
        return isCertain
                ? notRun(step, reason, detail)
                : notRun(step, Reason.CONFIGURATION_STALE, detail + ", but that may have changed");
    }
}
