package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.EndpointBackoffs;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Applies what an answer states about the endpoint itself (leaving, backoff, rate limit), whatever
 * becomes of the request. Statements that this version doesn't know are logged rather than ignored.
 */
final class EndpointStatusUpdater {
    private static final int MISDIRECTED = 421;
    private static final String SOURCE = "answer";

    /** Maximum number of unknown names that are logged, each once. */
    private static final int MAX_UNKNOWN_NAMES = 64;

    private final StateController mState;
    private final EndpointTracker mTracker;
    private final UniformRandomProvider mRandom;
    private final EventLog mEvents;
    private final Set<String> mUnknownNames = new HashSet<>();

    EndpointStatusUpdater(
            StateController state,
            EndpointTracker tracker,
            UniformRandomProvider random,
            EventLog events) {
        mState = state;
        mTracker = tracker;
        mRandom = random;
        mEvents = events;
    }

    /**
     * Applies the head of an answer of a run to a request that was sent at the given time.
     *
     * @param request id of the request, for the log
     */
    void apply(EndpointRun run, AnswerHead head, String request, Instant sentAt, Instant now) {
        head.unknownStatements().forEach((name, value) -> logUnknown(run, name, value));
        if (head.leaving()) {
            mState.onEndpointLeaving(run, SOURCE);
        }
        if (head.busy()) {
            head.retryAfter().ifPresent(text -> backOff(run, text, request, now));
        }
        // A misdirected request was answered by another endpoint, whose limit isn't this run's.
        if (head.status() != MISDIRECTED) {
            applyRateLimit(run, head, sentAt, now);
            head.coldLeft().ifPresent(left -> mTracker.cold().onAnswer(run, left, sentAt));
        }
    }

    private void logUnknown(EndpointRun run, String name, String value) {
        if (mUnknownNames.size() < MAX_UNKNOWN_NAMES && mUnknownNames.add(name)) {
            mEvents.record(
                    new ForwardEvent.EndpointStatementUnknown(run.id().value(), name, value));
        }
    }

    private void backOff(EndpointRun run, String text, String request, Instant now) {
        Optional<Duration> backoff = EndpointBackoffs.parse(text);
        backoff.ifPresent(d -> mTracker.backOff(run, d, mRandom.nextDouble(), now));
        mEvents.record(
                new ForwardEvent.EndpointRests(
                        request,
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
        if (credible && mTracker.recordRateLimit(run, limit, sentAt, now)) {
            recordRateLimitEvent(run, head, true);
        }
    }

    private void recordRateLimitEvent(EndpointRun run, AnswerHead head, boolean applied) {
        mEvents.record(
                new ForwardEvent.EndpointRateLimitChanged(
                        run.id().value(), head.rateLimit().orElse(""), applied, SOURCE));
    }
}
