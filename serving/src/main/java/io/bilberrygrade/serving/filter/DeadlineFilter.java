package io.bilberrygrade.serving.filter;

import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Sets the deadline that the caller stated; refuses requests without one or whose deadline has
 * passed.
 */
public final class DeadlineFilter implements RequestFilter<Exchange> {
    private final InstantSource mClock;
    private final Duration mMaxDeadline;

    /** Creates the filter; a deadline further away than {@code maxDeadline} is shortened to it. */
    public DeadlineFilter(InstantSource clock, Duration maxDeadline) {
        mClock = clock;
        mMaxDeadline = maxDeadline;
    }

    @Override
    public Uni<Outcome> handle(Exchange exchange, FilterChain<Exchange> next) {
        Instant now = mClock.instant();
        Optional<Instant> deadline = deadline(exchange);
        if (deadline.isEmpty()) {
            return refuse(Reason.DEADLINE_MISSING, "the request states no deadline");
        }
        if (!deadline.get().isAfter(now)) {
            return refuse(Reason.DEADLINE_PAST, "the deadline has passed");
        }
        exchange.limit(deadline.get());
        return next.proceed(exchange);
    }

    private Optional<Instant> deadline(Exchange exchange) {
        Instant latest = exchange.arrival().plus(mMaxDeadline);
        CallerHeaders headers = exchange.headers();
        return headers.timeout()
                .map(exchange.arrival()::plus)
                .or(headers::deadline)
                .map(d -> d.isAfter(latest) ? latest : d);
    }

    private static Uni<Outcome> refuse(Reason reason, String detail) {
        return Uni.createFrom().item(Outcome.notRun(Step.DEADLINE, reason, detail));
    }
}
