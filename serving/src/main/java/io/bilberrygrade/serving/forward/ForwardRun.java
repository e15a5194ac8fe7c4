package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.ForwardService;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.Route;
import io.bilberrygrade.core.forward.StreamNeed;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Brings one request to its end: sends it, sends it again where that is allowed, and gives the
 * caller a final answer by the deadline.
 */
final class ForwardRun implements ForwardAttempt.Owner {
    /** Most connections that are tried in vain; none of these reached an endpoint. */
    private static final int MAX_FAILED_CONNECTS = 3;

    /** Most tries to reserve memory, each on other engines if the first have no room. */
    private static final int MAX_RESERVATION_TRIES = 8;

    private static final Duration RESERVATION_RETRY = Duration.ofMillis(150);

    /** Least time, in which an endpoint could do anything useful. */
    private static final Duration LEAST_TIME = Duration.ofMillis(20);

    private final ForwardParts mParts;
    private final ForwardExchange mExchange;
    private final Consumer<Outcome> mDone;
    private final Route mRoute;
    private final ServiceId mService;
    private final AnswerRelay mRelay;
    private final Set<EndpointId> mTried = new HashSet<>();
    private Optional<ForwardAttempt> mAttempt = Optional.empty();
    private Optional<Cancellable> mDeadlineTimer = Optional.empty();
    private Optional<ServerFailure> mLastAnswer = Optional.empty();
    private int mSends;
    private int mReservationTries;
    private int mFailedConnects;
    private boolean mMayHaveRun;
    private boolean mEnded;

    ForwardRun(ForwardParts parts, ForwardExchange exchange, Consumer<Outcome> done) {
        mParts = parts;
        mExchange = exchange;
        mDone = done;
        mRoute = exchange.route();
        mService = mRoute.service(parts.random().nextDouble());
        mRelay = new AnswerRelay(exchange.answer(), exchange.head().resumeAfter());
    }

    void start() {
        mExchange.answer().onGone(this::callerGone);
        if (mEnded) {
            return;
        }
        Instant now = mParts.clocks().now();
        mParts.budgets().of(mService).requested(now);
        mDeadlineTimer =
                Optional.of(
                        mParts.timers()
                                .after(Duration.between(now, mExchange.deadline()))
                                .subscribe()
                                .with(v -> deadlinePassed()));
        begin();
    }

    /** Sends the request unless it is turned away. */
    private void begin() {
        Optional<ForwardService> service = service().filter(s -> s.engine().isPresent());
        Optional<StreamNeed> need = mExchange.head().prompt().map(p -> SendPlanner.need(mRoute, p));
        if (service.isPresent()
                && need.isPresent()
                && mParts.planner().refuses(service.get(), need.get(), mParts.clocks().now())) {
            giveUp(Reason.OVERLOADED, "engines could not read it in time beside what they read");
        } else {
            next();
        }
    }

    /** Sends the request, for the first time or again. */
    private void next() {
        Instant now = mParts.clocks().now();
        Duration left = Duration.between(now, mExchange.deadline());
        if (left.compareTo(LEAST_TIME) < 0) {
            giveUp(Reason.DEADLINE_PAST, "no time is left");
            return;
        }
        Optional<Outcome> withdrawn = keyWithdrawn();
        if (withdrawn.isPresent()) {
            end(withdrawn.get());
            return;
        }
        Optional<PlacedSend> placed = plan(now);
        if (placed.isEmpty()) {
            withoutEndpoint(now);
            return;
        }
        if (mSends > 0 && !mParts.budgets().of(mService).tryRetry(now)) {
            giveUp(Reason.REPEATS_EXHAUSTED, "the service's repeats are used up");
            return;
        }
        send(placed.get(), left, now);
    }

    /** Gives up; if all endpoints rest, the caller may come back once the first returns. */
    private void withoutEndpoint(Instant now) {
        Optional<Instant> back = mParts.book().firstReturn(mService, now);
        if (back.isPresent() && mLastAnswer.isEmpty() && !mMayHaveRun) {
            end(
                    Outcome.notRun(
                            Step.ROUTE,
                            Reason.OVERLOADED,
                            "all endpoints of the service have asked for rest",
                            Duration.between(now, back.get())));
        } else {
            giveUp(Reason.NO_ENDPOINT, "no endpoint of the service may get it");
        }
    }

    /** Checks the key at each sending, since it may have been taken away meanwhile. */
    private Optional<Outcome> keyWithdrawn() {
        return mParts.state()
                .keyWithdrawn(mExchange)
                .map(r -> failure(Step.IDENTIFY, r, "the key can't be honoured any more"));
    }

    private Optional<PlacedSend> plan(Instant now) {
        ImmutableSet<EndpointId> tried = ImmutableSet.copyOf(mTried);
        return service()
                .flatMap(
                        s ->
                                mParts.planner()
                                        .plan(mRoute, s, mExchange.head().prompt(), tried, now));
    }

    private Optional<ForwardService> service() {
        Optional<ForwardingConfig> newest = mParts.state().config();
        return newest.map(c -> c.services().get(mService))
                .or(() -> mExchange.config().map(c -> c.services().get(mService)));
    }

    private void send(PlacedSend placed, Duration left, Instant now) {
        if (placed.reservations().isEmpty()) {
            send(placed, ImmutableList.of(), left, now);
            return;
        }
        mReservationTries++;
        mParts.memory()
                .reserve(mExchange.id().value(), placed)
                .subscribe()
                .with(r -> reserved(placed, r));
    }

    /** Goes on once the memory is there; time has passed, so all is checked again. */
    private void reserved(PlacedSend placed, Optional<ImmutableList<MemoryReservation>> memory) {
        Instant now = mParts.clocks().now();
        Duration left = Duration.between(now, mExchange.deadline());
        boolean useful =
                !mEnded
                        && left.compareTo(LEAST_TIME) >= 0
                        && keyWithdrawn().isEmpty()
                        && mParts.book().mayGetWork(placed, now);
        if (memory.isPresent() && useful) {
            send(placed, memory.get(), left, now);
        } else if (memory.isPresent()) {
            memory.get().forEach(MemoryReservation::release);
            resume();
        } else if (mReservationTries < MAX_RESERVATION_TRIES) {
            mParts.timers().after(RESERVATION_RETRY).subscribe().with(v -> resume());
        } else if (!mEnded) {
            giveUp(Reason.OVERLOADED, "no engines have the memory for it");
        }
    }

    private void resume() {
        if (!mEnded) {
            next();
        }
    }

    private void send(
            PlacedSend placed,
            ImmutableList<MemoryReservation> memory,
            Duration left,
            Instant now) {
        mSends++;
        mTried.add(placed.endpoint().id());
        mParts.book().sent(placed.endpoint().id(), now);
        logSent(placed, left);
        ForwardAttempt attempt =
                new ForwardAttempt(mParts, mExchange, placed, memory, mSends, mRelay, this);
        mAttempt = Optional.of(attempt);
        attempt.start(left);
    }

    private void logSent(PlacedSend placed, Duration left) {
        mParts.events()
                .record(
                        new ForwardEvent.Sent(
                                mExchange.id().value(),
                                mSends,
                                placed.endpoint().id().value(),
                                placed.helperNames(),
                                left.toMillis(),
                                placed.candidates(),
                                placed.known().toString(),
                                mParts.state().config().map(ForwardingConfig::version).orElse(0L),
                                mParts.state().confirmedAgo().map(Duration::toMillis).orElse(-1L)));
    }

    @Override
    public void failed(Delivery delivery, String detail) {
        if (mEnded) {
            return;
        }
        mAttempt = Optional.empty();
        switch (delivery) {
            case NOT_DELIVERED -> {
                mSends--;
                mFailedConnects++;
            }
            case REFUSED -> {}
            case MAY_HAVE_RUN -> mMayHaveRun = true;
        }
        boolean again = mRoute.repeatable() || delivery != Delivery.MAY_HAVE_RUN;
        if (again && !ranOnce() && sendsLeft()) {
            next();
        } else {
            giveUp(
                    delivery == Delivery.MAY_HAVE_RUN
                            ? Reason.ENDPOINT_FAILED
                            : Reason.ENDPOINT_REFUSED,
                    detail);
        }
    }

    private boolean ranOnce() {
        return mMayHaveRun && !mRoute.repeatable();
    }

    @Override
    public boolean mayGoElsewhere(Instant now) {
        return sendsLeft() && mParts.budgets().of(mService).mayRetry(now);
    }

    private boolean sendsLeft() {
        return mSends < mRoute.maxAttempts() && mFailedConnects < MAX_FAILED_CONNECTS;
    }

    @Override
    public void answeredWithFailure(AnswerHead head, Buffer body) {
        if (mEnded) {
            return;
        }
        mMayHaveRun = true;
        mLastAnswer = Optional.of(new ServerFailure(head, body));
        mAttempt = Optional.empty();
        if (head.status() >= 500 && mRoute.repeatable() && sendsLeft()) {
            next();
        } else {
            passOnFailure();
        }
    }

    @Override
    public void answered(long events, Instant firstAt) {
        if (!mEnded) {
            Instant now = mParts.clocks().now();
            mParts.events()
                    .record(
                            new ForwardEvent.Answered(
                                    mExchange.id().value(),
                                    200,
                                    mSends,
                                    events,
                                    millis(firstAt),
                                    millis(now)));
            finish(new Outcome.Done((int) events));
        }
    }

    private long millis(Instant at) {
        return Duration.between(mExchange.arrival(), at).toMillis();
    }

    private void passOnFailure() {
        ServerFailure failure = mLastAnswer.orElseThrow();
        if (failure.head().promisesNotRun()) {
            end(
                    failure(
                            Step.DISPATCH,
                            Reason.ENDPOINT_FAILED,
                            "the endpoint answered "
                                    + failure.head().status()
                                    + " and may have run"));
            return;
        }
        mParts.events()
                .record(
                        new ForwardEvent.Answered(
                                mExchange.id().value(),
                                failure.head().status(),
                                mSends,
                                0,
                                millis(mParts.clocks().now()),
                                millis(mParts.clocks().now())));
        if (mRelay.begun()) {
            mExchange.answer().abort();
        } else {
            mExchange.answer().whole(failure.head(), failure.body());
        }
        finish(new Outcome.Done(0));
    }

    private void giveUp(Reason reason, String detail) {
        if (mLastAnswer.isPresent() && !mRelay.begun()) {
            passOnFailure();
        } else {
            end(failure(mSends > 0 ? Step.DISPATCH : Step.ROUTE, reason, detail));
        }
    }

    private Outcome failure(Step step, Reason reason, String detail) {
        return mMayHaveRun
                ? new Outcome.Unknown(step, reason, detail, Optional.empty(), Optional.empty())
                : Outcome.notRun(step, reason, detail);
    }

    private void deadlinePassed() {
        if (!mEnded) {
            if (mAttempt.filter(ForwardAttempt::mayHaveRun).isPresent()) {
                mMayHaveRun = true;
            }
            giveUp(Reason.DEADLINE_PAST, "the request's time is up");
        }
    }

    private void callerGone() {
        if (!mEnded) {
            mParts.events()
                    .record(
                            new ForwardEvent.CallerGone(
                                    mExchange.id().value(), mSends, millis(mParts.clocks().now())));
            finish(
                    Outcome.unknown(
                            Step.RELAY, Reason.CALLER_GONE, "the caller has gone", "caller"));
        }
    }

    private void end(Outcome outcome) {
        if (mRelay.begun()) {
            mExchange.answer().abort();
        }
        finish(outcome);
    }

    private void finish(Outcome outcome) {
        mEnded = true;
        mAttempt.ifPresent(ForwardAttempt::cancel);
        mAttempt = Optional.empty();
        mDeadlineTimer.ifPresent(Cancellable::cancel);
        mDone.accept(outcome);
    }

    private record ServerFailure(AnswerHead head, Buffer body) {}
}
