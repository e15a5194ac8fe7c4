package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.LostRequestDetector;
import io.bilberrygrade.core.forward.LostRequestDetector.EndpointActivity;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** One attempt of a request at one endpoint: validates the answer and relays it. */
final class ForwardAttempt implements EndpointListener {
    /** Limit in bytes of an answer that is buffered before it is relayed. */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;

    private static final int MISDIRECTED = 421;

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final AttemptPlan mPlan;
    private final ImmutableList<MemoryReservation> mMemory;
    private final int mAttemptNumber;
    private final AnswerRelay mRelay;
    private final Owner mOwner;
    private final EventStreamParser mParser = new EventStreamParser();
    private final Instant mStartedAt;
    private Buffer mBufferedBody = Buffer.buffer();
    private Optional<AnswerHead> mHead = Optional.empty();
    private Optional<Cancellable> mStallTimer = Optional.empty();
    private Optional<Cancellable> mReadTimer = Optional.empty();
    private ImmutableMap<EndpointId, EndpointWork> mRecordedWork = ImmutableMap.of();
    private Optional<Instant> mFirstEventAt = Optional.empty();
    private EndpointCall mCall;
    private boolean mSent;
    private boolean mFinished;

    ForwardAttempt(
            ForwardContext context,
            ForwardExchange exchange,
            AttemptPlan attemptPlan,
            ImmutableList<MemoryReservation> memory,
            int attemptNumber,
            AnswerRelay relay,
            Owner owner) {
        mContext = context;
        mExchange = exchange;
        mPlan = attemptPlan;
        mMemory = memory;
        mAttemptNumber = attemptNumber;
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
                        helpers(),
                        Urgency.of(mExchange.route()));
        mCall = mContext.client().send(mExchange.head(), mExchange.body(), attemptRequest, this);
    }

    private ImmutableList<AttemptRequest.Helper> helpers() {
        return mPlan.helpers().stream()
                .map(h -> new AttemptRequest.Helper(h.address(), reservationIdOn(h)))
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<String> reservationIdOn(RegisteredEndpoint engine) {
        return mMemory.stream()
                .filter(r -> r.engine().equals(engine))
                .map(MemoryReservation::id)
                .findFirst();
    }

    /** Returns whether the endpoint may have started to run the request. */
    boolean mayHaveRun() {
        return mSent;
    }

    /** Returns how far the endpoint's answer has come, as observed by this daemon. */
    AnswerProgress progress() {
        if (mFirstEventAt.isPresent()) {
            return AnswerProgress.WRITING;
        }
        if (mHead.isPresent()) {
            return AnswerProgress.HEAD;
        }
        return mSent ? AnswerProgress.SENT : AnswerProgress.CONNECTING;
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
        mSent = true;
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
        mContext.tracker().recordRefusal(faultyEndpoint(head), mContext.clocks().now());
        fail(Delivery.REFUSED, "the endpoint refused it with " + head.status());
    }

    private EndpointId faultyEndpoint(AnswerHead head) {
        return head.faulty()
                .flatMap(
                        a ->
                                mPlan.helpers().stream()
                                        .filter(h -> h.address().equals(a))
                                        .findFirst())
                .map(RegisteredEndpoint::id)
                .orElse(mPlan.endpoint().id());
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
        if (mFirstEventAt.isEmpty()) {
            mFirstEventAt = Optional.of(mContext.clocks().now());
            mContext.tracker().recordSuccess(mPlan.endpoint().id());
            recordWork(mPlan.work().writing());
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
        fail(delivery, detail);
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
        finish();
        mCall.cancel();
        Instant now = mContext.clocks().now();
        if (endpointAtFault) {
            mContext.tracker().recordFailure(mPlan.endpoint().id(), now);
        }
        mContext.events()
                .record(
                        new ForwardEvent.AttemptFailed(
                                mExchange.id().value(),
                                mAttemptNumber,
                                mPlan.endpoint().id().value(),
                                delivery.name(),
                                progress().name(),
                                detail,
                                Duration.between(mStartedAt, now).toMillis()));
        mOwner.onFailed(delivery, detail);
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
        mStallTimer.ifPresent(Cancellable::cancel);
        mReadTimer.ifPresent(Cancellable::cancel);
        mMemory.forEach(MemoryReservation::release);
        recordWork(ImmutableMap.of());
    }

    /** Stops counting the prompt as unread once the predicted reading time has passed. */
    private void onPromptReadTime() {
        if (!mFinished && mFirstEventAt.isEmpty()) {
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

        /** Returns whether the request may be retried at another endpoint now. */
        boolean canRetryElsewhere(Instant now);

        /** The endpoint ran the request and answered with an error status. */
        void onErrorAnswer(AnswerHead head, Buffer body);

        /** The complete answer was relayed to the caller. */
        void onAnswered(long eventCount, Instant firstEventAt);
    }
}
