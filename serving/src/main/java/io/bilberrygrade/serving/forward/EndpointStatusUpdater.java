package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.EndpointBackoffs;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Applies what an answer states about the endpoint itself (leaving, backoff, rate limit), whatever
 * becomes of the request.
 */
final class EndpointStatusUpdater {
    private static final int MISDIRECTED = 421;
    private static final String SOURCE = "answer";

    private final ForwardContext mContext;

    EndpointStatusUpdater(ForwardContext context) {
        mContext = context;
    }

    /** Applies the head of an answer of a run to a request that was sent at the given time. */
    void apply(EndpointRun run, AnswerHead head, RequestId request, Instant sentAt, Instant now) {
        if (head.leaving()) {
            mContext.state().onEndpointLeaving(run, SOURCE);
        }
        if (head.busy()) {
            head.retryAfter().ifPresent(text -> backOff(run, text, request, now));
        }
        // A misdirected request was answered by another endpoint, whose limit isn't this run's.
        if (head.status() != MISDIRECTED) {
            applyRateLimit(run, head, sentAt, now);
        }
    }

    private void backOff(EndpointRun run, String text, RequestId request, Instant now) {
        Optional<Duration> backoff = EndpointBackoffs.parse(text);
        backoff.ifPresent(
                d -> mContext.tracker().backOff(run, d, mContext.random().nextDouble(), now));
        mContext.events()
                .record(
                        new ForwardEvent.EndpointRests(
                                request.value(),
                                run.id().value(),
                                text,
                                backoff.map(Duration::toMillis).orElse(0L)));
    }

    /**
     * Applies the rate limit that the answer states or no longer states. An answer without the
     * endpoint's mark ends no limit, since it may not come from the endpoint.
     */
    private void applyRateLimit(EndpointRun run, AnswerHead head, Instant sentAt, Instant now) {
        Optional<RateLimit> limit = head.rateLimit().flatMap(RateLimit::parse);
        if (head.rateLimit().isPresent() && limit.isEmpty()) {
            recordRateLimitEvent(run, head, false);
            return;
        }
        boolean credible = limit.isPresent() || head.sealed() || head.notRun();
        if (credible && mContext.tracker().recordRateLimit(run, limit, sentAt, now)) {
            recordRateLimitEvent(run, head, true);
        }
    }

    private void recordRateLimitEvent(EndpointRun run, AnswerHead head, boolean applied) {
        mContext.events()
                .record(
                        new ForwardEvent.EndpointRateLimitChanged(
                                run.id().value(), head.rateLimit().orElse(""), applied, SOURCE));
    }
}
