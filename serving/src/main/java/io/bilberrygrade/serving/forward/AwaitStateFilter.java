package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.smallrye.mutiny.Uni;

/**
 * Delays requests while the daemon reads its first configuration after a start, or its next
 * confirmation after a clock step. Both take milliseconds while the store answers, whereas a
 * refusal would use up one of the caller's few retries.
 */
final class AwaitStateFilter implements RequestFilter<ForwardExchange> {
    private final StateController mState;
    private final StateReader mReader;

    AwaitStateFilter(StateController state, StateReader reader) {
        mState = state;
        mReader = reader;
    }

    @Override
    public Uni<Outcome> handle(ForwardExchange exchange, FilterChain<ForwardExchange> next) {
        if (mState.isComplete() && mState.isFresh()) {
            return next.proceed(exchange);
        }
        mReader.confirmNow();
        Uni<Void> abandoned =
                Uni.createFrom().emitter(e -> exchange.onAbandoned(() -> e.complete(null)));
        return Uni.join()
                .first(mState.awaitCurrentState(), abandoned)
                .toTerminate()
                .onItem()
                .transformToUni(
                        v -> {
                            if (exchange.isAbandoned()) {
                                return Refusals.notRun(
                                        Step.ADMISSION, Reason.DRAINING, Refusals.STOPPING);
                            }
                            if (mState.config().isEmpty()) {
                                return Refusals.notRun(
                                        Step.ROUTE,
                                        Reason.NOT_READY,
                                        "no configuration is known yet");
                            }
                            exchange.replaceConfig(mState.config().get());
                            return next.proceed(exchange);
                        });
    }
}
