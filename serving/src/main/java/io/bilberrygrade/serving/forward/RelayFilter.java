package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RelayEvent;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.relay.HandOver;
import io.bilberrygrade.serving.relay.RelayAuthenticator;
import io.bilberrygrade.serving.relay.RelayedLoad;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Takes the requests that peers hand over, unless this daemon is about to stop, has too many of
 * them or an older configuration. Such a request is never handed over again.
 */
final class RelayFilter implements RequestFilter<ForwardExchange> {
    private final RelayAuthenticator mAuthenticator;
    private final StateController mState;
    private final RelayedLoad mLoad;
    private final BooleanSupplier mReady;
    private final EventLog mEvents;

    RelayFilter(
            RelayAuthenticator authenticator,
            StateController state,
            RelayedLoad load,
            BooleanSupplier ready,
            EventLog events) {
        mAuthenticator = authenticator;
        mState = state;
        mLoad = load;
        mReady = ready;
        mEvents = events;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        Optional<HandOver> handOver =
                HandOver.take(exchange.head().passedOn())
                        .filter(h -> mAuthenticator.isValid(h.proof(), proofSubject(exchange)));
        if (handOver.isEmpty()) {
            return Refusals.notRun(
                    Step.IDENTIFY, Reason.BAD_CREDENTIALS, "only peers use this address");
        }
        Optional<String> cause = refusalCause(handOver.get());
        long bodyBytes = exchange.body().length();
        if (cause.isPresent() || !mLoad.tryAdd(bodyBytes)) {
            return refuse(exchange, cause.orElse("too many requests of peers"));
        }
        exchange.setAttemptsLeft(handOver.get().attempts());
        return next.proceed(exchange).onTermination().invoke(() -> mLoad.remove(bodyBytes));
    }

    /** Returns what the proof of a request is made for. */
    static String proofSubject(ForwardExchange exchange) {
        return exchange.head().attemptId().orElse("");
    }

    private Optional<String> refusalCause(HandOver handOver) {
        if (!mReady.getAsBoolean()) {
            return Optional.of("this instance isn't ready");
        }
        return mState.version() < handOver.configVersion()
                ? Optional.of("the configuration here is older")
                : Optional.empty();
    }

    private Uni<Outcome> refuse(ForwardExchange exchange, String cause) {
        mEvents.record(
                new RelayEvent.HandOverRefused(
                        exchange.id().value(), cause, mLoad.running(), mLoad.bodyBytes()));
        exchange.answer().markAsPeerRefusal();
        return Refusals.notRun(Step.ADMISSION, Reason.NO_ENDPOINT, cause);
    }
}
