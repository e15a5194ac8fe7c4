package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.LostRequestDetector;
import io.bilberrygrade.core.forward.LostRequestDetector.EndpointActivity;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** One attempt of a request at one endpoint: validates the answer and relays it. */
final class ForwardAttempt implements EndpointListener, QuarantineController.Quarantinable {
    /** Limit in bytes of an answer that is buffered before it is relayed. */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;

    private static final int MISDIRECTED = 421;

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final AttemptPlan mPlan;
    private final ImmutableList<MemoryReservation> mMemory;
    private final int mAttemptNumber;
    private final boolean mTrial;
    private final AnswerRelay mRelay;
    private final Owner mOwner;
    private final EventStreamParser mParser = new EventStreamParser();
    private final AttemptProgress mProgress = new AttemptProgress();
    private final Instant mStartedAt;
    private Buffer mBufferedBody = Buffer.buffer();
    private Optional<AnswerHead> mHead = Optional.empty();
    private Optional<Cancellable> mStallTimer = Optional.empty();
    private Optional<Cancellable> mReadTimer = Optional.empty();
    private ImmutableMap<EndpointId, EndpointWork> mRecordedWork = ImmutableMap.of();
    private EndpointCall mCall;
    private boolean mFinished;

    ForwardAttempt(
            ForwardContext context,
            ForwardExchange exchange,
            AttemptPlan attemptPlan,
            ImmutableList<MemoryReservation> memory,
            int attemptNumber,
            boolean trial,
            AnswerRelay relay,
            Owner owner) {
        mContext = context;
        mExchange = exchange;
        mPlan = attemptPlan;
        mMemory = memory;
        mAttemptNumber = attemptNumber;
        mTrial = trial;
        mRelay = relay;
        mOwner = owner;
        mStartedAt = context.clocks().now();
    }

    /** Starts the attempt; the endpoint has the given time. */
    void start(Duration remaining) {
        recordWork(mPlan.work().reading());
        if (mPlan.prefillEndMillis() > 0) {
            mReadTimer =
                    schedule(
                            Duration.ofMillis(mPlan.prefillEndMillis()).plus(AttemptWork.PASS),
                            this::onPromptReadTime);
        }
        AttemptRequest attemptRequest =
                new AttemptRequest(
                        mPlan.endpoint(),
                        mExchange.team(),
                        remaining,
                        mRelay.lastId(),
                        mPlan.helpers(mMemory),
                        Urgency.of(mExchange.route()));
        if (!sharedParts().isEmpty() && !mTrial) {
            mContext.quarantine().watch(this);
        }
        mCall = mContext.client().send(mExchange.head(), mExchange.body(), attemptRequest, this);
    }

    @Override
    public ImmutableSet<PromptPart> sharedParts() {
        return mExchange.head().sharedParts();
    }

    @Override
    public boolean mayCrashEndpoint() {
        return !mProgress.isWriting();
    }

    @Override
    public void cancelQuarantined() {
        fail(
                mProgress.isSent() ? Delivery.MAY_HAVE_RUN : Delivery.NOT_DELIVERED,
                "its prompt was quarantined meanwhile",
                false);
    }

    /** Returns whether the endpoint may have started to run the request. */
    boolean mayHaveRun() {
        return mProgress.isSent();
    }

    /** Cancels the attempt; the endpoint stops when it detects that the connection was closed. */
    void cancel() {
        if (!mFinished) {
            finish();
            mCall.cancel();
        }
    }

    @Override
    public void onConnected() {
        mProgress.recordSent();
        if (mExchange.route().repeatable()) {
            startFirstByteTimer();
        }
    }

    /**
     * Starts the timer for the first byte. It is restarted while the endpoint is only busy, or
     * while the request can't be retried elsewhere.
     */
    private void startFirstByteTimer() {
        Duration timeout = ResponseTimeouts.firstByte(mExchange.route());
        mStallTimer = schedule(timeout, () -> checkForStall(timeout));
    }

    private void checkForStall(Duration timeout) {
        Instant now = mContext.clocks().now();
        EndpointActivity activity = mContext.tracker().activityOf(mPlan.endpoint().id());
        if (mOwner.canRetryElsewhere(now)
                && LostRequestDetector.isLost(mStartedAt, timeout, activity, now)) {
            failStalled(timeout, true);
        } else {
            startFirstByteTimer();
        }
    }

    @Override
    public void onHead(AnswerHead head) {
        mHead = Optional.of(head);
        mProgress.recordHead();
        mContext.tracker()
                .recordFirstByte(mPlan.endpoint().id(), mStartedAt, mContext.clocks().now());
        if (!mExchange.head().attemptId().equals(head.attemptId())) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is to another request");
            return;
        }
        mContext.endpointStatus()
                .apply(
                        mPlan.endpoint().run(),
                        head,
                        mExchange.id().value(),
                        mStartedAt,
                        mContext.clocks().now());
        if (head.notRun() || head.status() == MISDIRECTED) {
            onRefusal(head);
        } else if (head.success() && !head.sealed()) {
            fail(Delivery.MAY_HAVE_RUN, "a success without the endpoint's mark");
        }
    }

    private void onRefusal(AnswerHead head) {
        mContext.tracker().recordRefusal(mPlan.faultyEndpoint(head), mContext.clocks().now());
        fail(Delivery.REFUSED, "the endpoint refused it with " + head.status());
    }

    @Override
    public void onData(Buffer part) {
        mContext.tracker().recordBytes(mPlan.endpoint().id(), mContext.clocks().now());
        if (isStreaming()) {
            relayEvents(part);
        } else if (mBufferedBody.length() + part.length() > MAX_BUFFERED_BYTES) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is over " + MAX_BUFFERED_BYTES + " bytes");
        } else {
            mBufferedBody.appendBuffer(part);
        }
    }

    private boolean isStreaming() {
        return mExchange.route().kind() == RouteKind.STREAMING
                && mHead.filter(AnswerHead::success).isPresent();
    }

    private void relayEvents(Buffer part) {
        try {
            List<StreamEvent> events = mParser.feed(part);
            boolean progress = events.stream().anyMatch(StreamEvent::progress);
            if (progress) {
                onFirstEvent();
                clearPartsOnceSettled();
            }
            for (StreamEvent event : events) {
                if (!mRelay.relay(mHead.orElseThrow(), event, mContext.clocks().now())) {
                    mCall.pause();
                    mRelay.answer().onWritable(mCall::resume);
                }
            }
            if (progress && mExchange.route().repeatable()) {
                restartEventTimer(ResponseTimeouts.betweenEvents(mExchange.route()));
            }
        } catch (MalformedStreamException e) {
            fail(Delivery.MAY_HAVE_RUN, e.getMessage());
        }
    }

    private void onFirstEvent() {
        if (mProgress.recordEvent(mContext.clocks().now())) {
            mContext.tracker().recordSuccess(mPlan.endpoint().id());
            recordWork(mPlan.work().writing());
        }
    }

    /** Clears the prompt's parts of suspicion once its answer is well under way. */
    private void clearPartsOnceSettled() {
        Instant now = mContext.clocks().now();
        if (mProgress.hasSettled(now)) {
            mContext.quarantine().recordAnswered(sharedParts(), now);
        }
    }

    @Override
    public void onEnd() {
        AnswerHead head = mHead.orElseThrow();
        if (mFinished) {
            return;
        }
        if (isStreaming() && !mParser.atBoundary()) {
            fail(Delivery.MAY_HAVE_RUN, "the stream ended within an event");
            return;
        }
        finish();
        if (!head.success()) {
            mOwner.onErrorAnswer(head, mBufferedBody);
            return;
        }
        mContext.tracker().recordSuccess(mPlan.endpoint().id());
        mContext.quarantine().recordAnswered(sharedParts(), mContext.clocks().now());
        if (isStreaming()) {
            mRelay.end(head);
        } else {
            mExchange.answer().writeWhole(head, mBufferedBody);
        }
        mOwner.onAnswered(
                mRelay.eventCount(), mRelay.firstEventAt().orElseGet(mContext.clocks()::now));
    }

    @Override
    public void onFailed(Delivery delivery, String detail) {
        boolean closedEarly =
                delivery == Delivery.MAY_HAVE_RUN
                        && !mFinished
                        && !sharedParts().isEmpty()
                        && !mContext.state().endpoints().leaving().contains(mPlan.endpoint().run())
                        && !mProgress.hasSettled(mContext.clocks().now());
        if (closedEarly) {
            onClosedEarly(detail);
        } else {
            fail(delivery, detail);
        }
    }

    /**
     * Handles a connection that the endpoint closed before the answer was well under way. If the
     * endpoint crashed just as it began to answer, the request isn't repeated, since it may crash
     * the next one too.
     */
    private void onClosedEarly(String detail) {
        boolean begun = mProgress.hasBegun();
        Uni<Boolean> crashed =
                mContext.crashes().onConnectionClosed(mPlan.endpoint(), sharedParts(), begun);
        if (begun) {
            end(Delivery.MAY_HAVE_RUN, detail, true);
            crashed.subscribe()
                    .with(
                            c -> {
                                if (c) {
                                    mOwner.onCrashedEndpoint(detail);
                                } else {
                                    mOwner.onFailed(Delivery.MAY_HAVE_RUN, detail);
                                }
                            });
        } else {
            crashed.subscribe().with(c -> {});
            fail(Delivery.MAY_HAVE_RUN, detail);
        }
    }

    /** Fails the attempt after a silence, so that the request can be retried elsewhere. */
    private void failStalled(Duration span, boolean endpointAtFault) {
        fail(Delivery.MAY_HAVE_RUN, "silent for " + span.toMillis() + " ms", endpointAtFault);
    }

    private void fail(Delivery delivery, String detail) {
        fail(delivery, detail, delivery != Delivery.REFUSED);
    }

    /**
     * Ends the attempt. Counts a failure against the endpoint if it is at fault, which ejects it
     * for a while.
     */
    private void fail(Delivery delivery, String detail, boolean endpointAtFault) {
        if (mFinished) {
            return;
        }
        end(delivery, detail, endpointAtFault);
        mOwner.onFailed(delivery, detail);
    }

    private void end(Delivery delivery, String detail, boolean endpointAtFault) {
        finish();
        mCall.cancel();
        Instant now = mContext.clocks().now();
        if (endpointAtFault) {
            mContext.tracker().recordFailure(mPlan.endpoint().run(), now);
        }
        mContext.events()
                .record(
                        new ForwardEvent.AttemptFailed(
                                mExchange.id().value(),
                                mAttemptNumber,
                                mPlan.endpoint().id().value(),
                                delivery.name(),
                                mProgress.stage().name(),
                                detail,
                                Duration.between(mStartedAt, now).toMillis()));
    }

    /**
     * Restarts the timer for the next event. Its expiry doesn't eject the engine: a pausing engine
     * may just be in a long pass, and ejecting it would move its load to the others when all are
     * busy. A dead engine accepts no connection, which ejects it.
     */
    private void restartEventTimer(Duration span) {
        mStallTimer.ifPresent(Cancellable::cancel);
        mStallTimer = schedule(span, () -> failStalled(span, false));
    }

    private void finish() {
        mFinished = true;
        mContext.quarantine().unwatch(this);
        mStallTimer.ifPresent(Cancellable::cancel);
        mReadTimer.ifPresent(Cancellable::cancel);
        mMemory.forEach(MemoryReservation::release);
        recordWork(ImmutableMap.of());
    }

    /** Stops counting the prompt as unread once the predicted reading time has passed. */
    private void onPromptReadTime() {
        if (!mFinished && !mProgress.isWriting()) {
            recordWork(mPlan.work().read());
        }
    }

    /** Replaces the work that this attempt adds to each engine. */
    private void recordWork(ImmutableMap<EndpointId, EndpointWork> work) {
        mContext.tracker().work().replace(mRecordedWork, work);
        mRecordedWork = work;
    }

    private Optional<Cancellable> schedule(Duration span, Runnable action) {
        return Optional.of(mContext.timers().after(span).subscribe().with(v -> action.run()));
    }

    /** Receives the result of an attempt. */
    interface Owner {
        /** The attempt ended without a usable answer. */
        void onFailed(Delivery delivery, String detail);

        /** The endpoint crashed just as it began to answer. */
        void onCrashedEndpoint(String detail);

        /** Returns whether the request may be retried at another endpoint now. */
        boolean canRetryElsewhere(Instant now);

        /** The endpoint ran the request and answered with an error status. */
        void onErrorAnswer(AnswerHead head, Buffer body);

        /** The complete answer was relayed to the caller. */
        void onAnswered(long eventCount, Instant firstEventAt);
    }
}
