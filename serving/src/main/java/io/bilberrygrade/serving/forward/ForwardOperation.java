package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.error.Delivery;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Runs one request to completion: sends it, retries it where that is allowed, and gives the caller
 * a final answer by the deadline.
 */
final class ForwardOperation implements AttemptOwner {
    /** Limit of attempts to reserve memory, each on other engines if the first have no capacity. */
    private static final int MAX_RESERVATION_ATTEMPTS = 8;

    private static final Duration RESERVATION_RETRY_DELAY = Duration.ofMillis(150);

    /** Least remaining time in which an endpoint could do useful work. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

    private static final String TIME_UP = "the request's time is up";

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final Consumer<Outcome> mOnOutcome;
    private final Route mRoute;
    private final ServiceId mService;
    private final AnswerRelay mRelay;
    private final AnswerEnd mAnswerEnd;
    private final QuarantineCheck mQuarantine;
    private final AttemptHistory mHistory;
    private final HandOvers mHandOvers;
    private final AttemptSource mSource;
    private final AttemptsInFlight mInFlight = new AttemptsInFlight();
    private Optional<Cancellable> mDeadlineTimer = Optional.empty();
    private final LastFailure mLastFailure = new LastFailure();
    private int mReservationAttempts;
    private boolean mMayHaveRun;
    private boolean mAwaitedPermit;
    private boolean mEnded;

    ForwardOperation(
            ForwardContext context, ForwardExchange exchange, Consumer<Outcome> onOutcome) {
        mContext = context;
        mExchange = exchange;
        mOnOutcome = onOutcome;
        mRoute = exchange.route();
        mService = mRoute.service(context.random().nextDouble());
        mRelay = new AnswerRelay(exchange.answer(), exchange.head().resumeAfter());
        mHistory = new AttemptHistory(exchange.maxAttempts());
        mHandOvers = new HandOvers(context, exchange, mService, mHistory);
        mSource = new AttemptSource(context, exchange, mService, mHandOvers);
        mAnswerEnd = new AnswerEnd(context, exchange, mRelay);
        mQuarantine = new QuarantineCheck(context.quarantine(), exchange::suspects);
        exchange.guard().onError(this::endAfterError);
    }

    void start() {
        mExchange.onAbandoned(() -> endNow(Reason.DRAINING, Refusals.STOPPING));
        mExchange.answer().onGone(mExchange.guard().wrap(this::onCallerGone));
        if (mEnded) {
            return;
        }
        Instant now = mContext.clocks().now();
        mContext.budgets().of(mService).recordRequest(now);
        Uni<Void> deadline = mContext.timers().after(Duration.between(now, mExchange.deadline()));
        mDeadlineTimer = Optional.of(proceed(deadline, v -> endNow(Reason.DEADLINE_PAST, TIME_UP)));
        mSource.refusalOnArrival().ifPresentOrElse(this::endWithoutAnswer, this::sendNext);
    }

    /** Starts the next attempt. */
    private void sendNext() {
        Instant now = mContext.clocks().now();
        Duration remaining = Duration.between(now, mExchange.deadline());
        if (remaining.compareTo(MIN_ATTEMPT_TIME) < 0) {
            giveUp(Reason.DEADLINE_PAST, "no time is left");
            return;
        }
        Optional<Outcome> rejection = keyRejection().or(() -> mQuarantine.check(mMayHaveRun, now));
        if (rejection.isPresent()) {
            endWithoutAnswer(rejection.get());
            return;
        }
        Optional<AttemptSource.Target> target = mSource.next(mHistory.tried(), now);
        if (target.isEmpty()) {
            onNoEndpoint(now);
            return;
        }
        if (mHistory.count() > 0 && !mContext.budgets().of(mService).tryRetry(now)) {
            giveUp(Reason.REPEATS_EXHAUSTED, "the service's repeats are used up");
            return;
        }
        send(target.get(), remaining, now);
    }

    private void send(AttemptSource.Target target, Duration remaining, Instant now) {
        switch (target) {
            case AttemptSource.Target.Peer p ->
                    mHandOvers.start(p.address(), remaining, mRelay, mInFlight, this);
            case AttemptSource.Target.Endpoint e -> send(e.plan(), remaining, now);
        }
    }

    /** Waits once for a permit of a rate-limited endpoint, or refuses the request. */
    private void onNoEndpoint(Instant now) {
        boolean mayWait = !mAwaitedPermit;
        mAwaitedPermit = true;
        Duration minRetryAfter = RetryDelay.of(Reason.NO_ENDPOINT, mContext.random().nextDouble());
        switch (NoEndpointDecision.decide(
                mContext.tracker(),
                mService,
                mHistory.tried(),
                mayWait,
                minRetryAfter,
                Duration.between(now, mExchange.deadline()),
                now)) {
            case NoEndpointDecision.AwaitPermit w ->
                    proceed(mContext.permits().request(), v -> continueUnlessEnded());
            case NoEndpointDecision.RefuseUntil r when !mLastFailure.isPresent() && !mMayHaveRun ->
                    endWithoutAnswer(r.outcome());
            default -> giveUp(Reason.NO_ENDPOINT, "no endpoint of the service may get it");
        }
    }

    /** Checks the key at each attempt, since it may have been revoked meanwhile. */
    private Optional<Outcome> keyRejection() {
        return mContext.state()
                .keyRejection(mExchange)
                .map(r -> failure(Step.IDENTIFY, r, "the key can't be honoured any more"));
    }

    private void send(AttemptPlan attemptPlan, Duration remaining, Instant now) {
        if (attemptPlan.reservations().isEmpty()) {
            send(attemptPlan, ImmutableList.of(), remaining, now);
            return;
        }
        mReservationAttempts++;
        proceed(
                mContext.memory().reserve(mExchange.id().value(), attemptPlan),
                r -> onReserved(attemptPlan, r));
    }

    /** Continues after the reservations; time has passed, so all is checked again. */
    private void onReserved(
            AttemptPlan attemptPlan, Optional<ImmutableList<MemoryReservation>> memory) {
        Instant now = mContext.clocks().now();
        Duration remaining = Duration.between(now, mExchange.deadline());
        boolean stillUseful =
                !mEnded
                        && remaining.compareTo(MIN_ATTEMPT_TIME) >= 0
                        && keyRejection().isEmpty()
                        && mQuarantine.mayStillSend(now)
                        && mContext.tracker().isEligible(attemptPlan, now);
        if (memory.isPresent() && stillUseful) {
            send(attemptPlan, memory.get(), remaining, now);
        } else if (memory.isPresent()) {
            memory.get().forEach(MemoryReservation::release);
            continueUnlessEnded();
        } else if (mReservationAttempts < MAX_RESERVATION_ATTEMPTS) {
            proceed(mContext.timers().after(RESERVATION_RETRY_DELAY), v -> continueUnlessEnded());
        } else if (!mEnded) {
            giveUp(Reason.OVERLOADED, "no engines have the memory for it");
        }
    }

    private void continueUnlessEnded() {
        if (!mEnded) {
            sendNext();
        }
    }

    private void send(
            AttemptPlan attemptPlan,
            ImmutableList<MemoryReservation> memory,
            Duration remaining,
            Instant now) {
        mHistory.recordSent(attemptPlan.endpoint().id());
        mContext.tracker().recordSent(attemptPlan.endpoint().id(), now);
        mContext.tracker().recordHelpers(attemptPlan.helpers(), now);
        ForwardAttempt attempt =
                new ForwardAttempt(
                        mContext,
                        mExchange,
                        attemptPlan,
                        memory,
                        mHistory.count(),
                        mQuarantine.isTrial(),
                        mRelay,
                        this);
        mInFlight.add(attempt);
        AttemptLog.recordSent(mContext, mExchange.id(), mHistory.count(), attemptPlan, remaining);
        attempt.start(remaining);
    }

    @Override
    public void onFailed(AttemptsInFlight.Attempt attempt, Delivery delivery, String detail) {
        if (mEnded) {
            return;
        }
        attempt.recordFailed(mHistory, delivery);
        mMayHaveRun |= delivery == Delivery.MAY_HAVE_RUN;
        if (mInFlight.endOne(attempt)) {
            return;
        }
        boolean mayRepeat = mRoute.repeatable() || delivery != Delivery.MAY_HAVE_RUN;
        boolean attemptsLeft = mHistory.hasAttemptsLeft() || mHandOvers.relay().isPresent();
        if (mayRepeat && !mustNotRepeat() && attemptsLeft) {
            sendNext();
        } else {
            giveUp(
                    delivery == Delivery.MAY_HAVE_RUN
                            ? Reason.ENDPOINT_FAILED
                            : Reason.ENDPOINT_REFUSED,
                    detail);
        }
    }

    @Override
    public void onPeerRefusal(AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body) {
        if (mEnded || mMayHaveRun) {
            onErrorAnswer(attempt, head, body);
            return;
        }
        relayError(head, body);
    }

    @Override
    public void onCrashedEndpoint(AttemptsInFlight.Attempt attempt, String detail) {
        if (mEnded) {
            return;
        }
        mMayHaveRun = true;
        if (!mInFlight.endOne(attempt)) {
            giveUp(Reason.ENDPOINT_FAILED, "the endpoint crashed as it began to answer: " + detail);
        }
    }

    private boolean mustNotRepeat() {
        return mMayHaveRun && !mRoute.repeatable();
    }

    @Override
    public boolean trySendElsewhere(Instant now) {
        Duration remaining = Duration.between(now, mExchange.deadline());
        boolean allowed =
                !mEnded
                        && mInFlight.hasRoom()
                        && mHistory.hasAttemptsLeft()
                        && remaining.compareTo(MIN_ATTEMPT_TIME) >= 0
                        && keyRejection().isEmpty()
                        && mQuarantine.mayStillSend(now)
                        && !mQuarantine.isTrial();
        if (!allowed) {
            return false;
        }
        Optional<AttemptSource.Target> target =
                mSource.next(mHistory.tried(), now).filter(t -> !t.needsReservation());
        if (target.isEmpty() || !mContext.budgets().of(mService).tryRetry(now)) {
            return false;
        }
        mMayHaveRun = true;
        send(target.get(), remaining, now);
        return true;
    }

    @Override
    public boolean isOnlyAttempt() {
        return mInFlight.hasRoom();
    }

    @Override
    public void onRelayed(AttemptsInFlight.Attempt attempt) {
        mInFlight.keepOnly(attempt);
    }

    @Override
    public void onErrorAnswer(AttemptsInFlight.Attempt attempt, AnswerHead head, AnswerBody body) {
        if (mEnded) {
            body.release();
            return;
        }
        mMayHaveRun = true;
        mLastFailure.replace(head, body);
        if (mInFlight.endOne(attempt)) {
            return;
        }
        if (head.status() >= 500 && mRoute.repeatable() && mHistory.hasAttemptsLeft()) {
            sendNext();
        } else {
            relayLastFailure();
        }
    }

    @Override
    public void onCallerTooSlow() {
        Outcome outcome = mAnswerEnd.cutSlowCaller(mHistory.count());
        if (!mEnded) {
            finish(outcome);
        }
    }

    @Override
    public void onAnswered(long eventCount, Instant firstEventAt) {
        if (!mEnded) {
            mAnswerEnd.recordAnswered(200, mHistory.count(), firstEventAt);
            finish(new Outcome.Done((int) eventCount));
        }
    }

    private void relayLastFailure() {
        LastFailure.ErrorAnswer failure = mLastFailure.take();
        if (failure.head().impliesNotRun()) {
            failure.body().release();
            String detail =
                    "the endpoint answered " + failure.head().status() + " and may have run";
            endWithoutAnswer(failure(Step.DISPATCH, Reason.ENDPOINT_FAILED, detail));
            return;
        }
        relayError(failure.head(), failure.body());
    }

    private void relayError(AnswerHead head, AnswerBody body) {
        body.onEnded(mExchange.guard().wrap(this::onCallerTooSlow));
        mAnswerEnd.relayError(head, body, mHistory.count());
        finish(new Outcome.Done(0));
    }

    private void giveUp(Reason reason, String detail) {
        if (mLastFailure.isPresent() && !mRelay.hasBegun()) {
            relayLastFailure();
        } else {
            endWithoutAnswer(
                    failure(mHistory.count() > 0 ? Step.DISPATCH : Step.ROUTE, reason, detail));
        }
    }

    private Outcome failure(Step step, Reason reason, String detail) {
        return mMayHaveRun
                ? new Outcome.Unknown(step, reason, detail, Optional.empty(), Optional.empty())
                : Outcome.notRun(step, reason, detail);
    }

    /** Gives the final answer without waiting for the endpoints any longer. */
    private void endNow(Reason reason, String detail) {
        if (!mEnded) {
            if (mInFlight.mayHaveRun()) {
                mMayHaveRun = true;
            }
            giveUp(reason, detail);
        }
    }

    private void onCallerGone() {
        if (!mEnded) {
            finish(mAnswerEnd.recordCallerGone(mHistory.count()));
        }
    }

    private <T> Cancellable proceed(Uni<T> operation, Consumer<T> step) {
        return mExchange.guard().subscribe(operation, step);
    }

    /** Ends the request after an unexpected exception in one of its steps. */
    private void endAfterError(Throwable e) {
        if (mEnded) {
            mAnswerEnd.recordError(e);
        } else {
            mAnswerEnd.endAfterError(e, mHistory.count(), this::finish);
        }
    }

    private void endWithoutAnswer(Outcome outcome) {
        mAnswerEnd.cutIfBegun(outcome, mHistory.count());
        finish(outcome);
    }

    private void finish(Outcome outcome) {
        mEnded = true;
        try {
            mLastFailure.drop();
            mInFlight.cancelAll();
            mDeadlineTimer.ifPresent(Cancellable::cancel);
            mExchange.admission().ifPresent(mContext.admission()::recordEnded);
            mExchange.setAdmission(Optional.empty());
        } finally {
            mOnOutcome.accept(outcome);
        }
    }
}
