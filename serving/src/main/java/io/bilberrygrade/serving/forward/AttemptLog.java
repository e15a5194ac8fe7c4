package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.RoomEvent;
import java.time.Duration;
import java.time.Instant;

/** Logs the attempts of requests together with the state that their placement was based on. */
final class AttemptLog {
    private AttemptLog() {}

    /** Logs that an attempt is sent, with the time that the endpoint has. */
    static void recordSent(
            ForwardContext context,
            RequestId request,
            int attemptNumber,
            AttemptPlan attemptPlan,
            Duration remaining) {
        context.events()
                .record(
                        new ForwardEvent.Sent(
                                request.value(),
                                attemptNumber,
                                attemptPlan.endpoint().id().value(),
                                attemptPlan.helperNames(),
                                remaining.toMillis(),
                                attemptPlan.candidates(),
                                attemptPlan.known().toString(),
                                context.tracker()
                                        .rateLimits()
                                        .of(attemptPlan.endpoint().run())
                                        .map(l -> Double.toString(l.perSecond()))
                                        .orElse(""),
                                context.state().config().map(ForwardingConfig::version).orElse(0L),
                                context.state()
                                        .confirmationAge()
                                        .map(Duration::toMillis)
                                        .orElse(-1L)));
    }

    /** Logs that an attempt was stopped before it reached an evacuated endpoint. */
    static void recordStopped(
            ForwardContext context,
            RequestId request,
            int attemptNumber,
            RegisteredEndpoint endpoint,
            Instant startedAt) {
        context.events()
                .record(
                        new RoomEvent.SendStopped(
                                request.value(),
                                attemptNumber,
                                endpoint.id().value(),
                                endpoint.dataCentre().value(),
                                Duration.between(startedAt, context.clocks().now()).toMillis()));
    }

    /** Logs that an endpoint has sent nothing for the given time. */
    static void recordSilent(
            ForwardContext context,
            RequestId request,
            int attemptNumber,
            AttemptPlan attemptPlan,
            AttemptProgress progress,
            Duration span,
            boolean sentElsewhere) {
        context.events()
                .record(
                        new ForwardEvent.EndpointSilent(
                                request.value(),
                                attemptNumber,
                                attemptPlan.endpoint().id().value(),
                                progress.stage().name(),
                                span.toMillis(),
                                sentElsewhere));
    }

    /** Logs that an attempt ended without a usable answer. */
    static void recordFailed(
            ForwardContext context,
            RequestId request,
            int attemptNumber,
            AttemptPlan attemptPlan,
            AttemptProgress progress,
            Delivery delivery,
            String detail,
            Duration age) {
        context.events()
                .record(
                        new ForwardEvent.AttemptFailed(
                                request.value(),
                                attemptNumber,
                                attemptPlan.endpoint().id().value(),
                                delivery.name(),
                                progress.stage().name(),
                                detail,
                                age.toMillis()));
    }
}
