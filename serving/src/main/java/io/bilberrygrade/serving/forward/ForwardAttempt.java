package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.answer.EventStreamParser;
import io.bilberrygrade.serving.answer.MalformedStreamException;
import io.bilberrygrade.serving.answer.StreamEvent;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.error.ErrorGuard;
import io.bilberrygrade.serving.room.EndWatch;
import io.bilberrygrade.serving.room.ResponseTimeouts;
import io.bilberrygrade.serving.room.SilenceWatch;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** One attempt of a request at one endpoint: validates the answer and relays it. */
final class ForwardAttempt
        implements EndpointListener, AttemptsInFlight.Attempt, QuarantineController.Quarantinable {
    private static final int MISDIRECTED = 421;

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final ErrorGuard mGuard;
    private final AttemptPlan mPlan;
    private final ImmutableList<MemoryReservation> mMemory;
    private final int mAttemptNumber;
    private final boolean mTrial;
    private final AnswerRelay mRelay;
    private final AttemptOwner mOwner;
    private final EventStreamParser mParser = new EventStreamParser();
    private final AttemptProgress mProgress = new AttemptProgress();
    private final SilenceWatch mSilence;
    private final EndWatch mEngineEnd;
    private final RecordedWork mWork;
    private final Instant mStartedAt;
    private final AnswerBody mBody;
    private final EndpointCall mCall;
    private final AnswerRelay.Source mSource;
    private Optional<AnswerHead> mHead = Optional.empty();
    private boolean mFinished;

    ForwardAttempt(
            ForwardContext context,
            ForwardExchange exchange,
            AttemptPlan attemptPlan,
            ImmutableList<MemoryReservation> memory,
            int attemptNumber,
            boolean trial,
            AnswerRelay relay,
            AttemptOwner owner) {
        mContext = context;
        mExchange = exchange;
        mGuard = exchange.guard();
        mPlan = attemptPlan;
        mMemory = memory;
        mAttemptNumber = attemptNumber;
        mTrial = trial;
        mRelay = relay;
        mOwner = owner;
        mSilence = new SilenceWatch(context.timers(), mGuard.wrapCondition(this::onSilence));
        mEngineEnd =
                new EndWatch(
                        context.timers(),
                        this::hasEngineEnded,
                        mGuard.wrap(
                                () -> fail(mProgress.delivery(), "its engine has ended", true)));
        Runnable onMemoryExhausted = mGuard.wrap(this::onMemoryExhausted);
        mBody = context.client().newBody(attemptPlan.endpoint().id(), onMemoryExhausted);
        mWork = new RecordedWork(context, attemptPlan);
        mStartedAt = context.clocks().now();
        mCall = context.client().newCall(this, mGuard);
        mSource = new AnswerRelay.Source(mCall, mSilence, mBody, mGuard);
    }

    /** Starts the attempt; the endpoint has the given time. */
    void start(Duration remaining) {
        mWork.start();
        AttemptRequest attemptRequest =
                new AttemptRequest(
                        mPlan.endpoint(),
                        mExchange.team(),
                        remaining,
                        mRelay.lastId(),
                        mPlan.helpers(mMemory),
                        Urgency.of(mExchange.route(), mExchange.runAs(), mContext.traits().get()));
        if (!mTrial) {
            mContext.quarantine().watch(this);
        }
        if (!mMemory.isEmpty()) {
            mEngineEnd.start();
        }
        mCall.send(mExchange.head(), mExchange.body(), attemptRequest);
    }

    @Override
    public ImmutableSet<Suspect> suspects() {
        return mExchange.suspects();
    }

    @Override
    public boolean mayCrashEndpoint() {
        return !mProgress.isWriting();
    }

    @Override
    public void cancelQuarantined() {
        mGuard.run(() -> fail(mProgress.delivery(), "it was quarantined meanwhile", false));
    }

    private boolean hasEngineEnded() {
        return mContext.tracker().hasEnded(mPlan.endpoint(), mStartedAt, mContext.clocks().now());
    }

    @Override
    public boolean mayHaveRun() {
        return mProgress.isSent();
    }

    @Override
    public void cancel() {
        if (!mFinished) {
            finish();
            mBody.release();
            mCall.cancel();
        }
    }

    /** Ends the attempt, since it holds most of the memory that answers may hold. */
    private void onMemoryExhausted() {
        if (mBody.waitsForCaller()) {
            mOwner.onCallerTooSlow();
        } else {
            fail(Delivery.MAY_HAVE_RUN, "it holds most of the memory for answers");
        }
    }

    @Override
    public void onConnected() {
        Optional<RegisteredEndpoint> evacuated = mPlan.findEvacuated(mContext.state().endpoints());
        if (evacuated.isPresent()) {
            AttemptLog.recordStopped(
                    mContext, mExchange.id(), mAttemptNumber, evacuated.get(), mStartedAt);
            fail(Delivery.NOT_DELIVERED, "the data centre was evacuated meanwhile", false);
            return;
        }
        mProgress.recordSent();
        if (mExchange.route().repeatable()) {
            mSilence.start(ResponseTimeouts.firstByte(mExchange.route()));
        }
    }

    @Override
    public void watchForSilence() {
        if (!mFinished) {
            mSilence.restart();
        }
    }

    /**
     * Sends the request to another endpoint as well if this one may have lost it. The attempt goes
     * on, since a silent endpoint may still be at work. Returns whether the request was sent.
     *
     * <p>A silence between events doesn't eject the engine: it may just be in a long pass, and
     * ejecting it would move its load to the others when all are busy.
     */
    private boolean onSilence(Duration span) {
        Instant now = mContext.clocks().now();
        boolean beforeContent = !mProgress.isWriting();
        if (beforeContent
                && !mContext.tracker().isLost(mPlan.endpoint().id(), mStartedAt, span, now)) {
            return false;
        }
        boolean sentElsewhere = mOwner.trySendElsewhere(now);
        if (sentElsewhere && beforeContent) {
            mContext.tracker().recordSilence(mPlan.endpoint().run(), now);
            mWork.learnFromSilence(now);
        }
        AttemptLog.recordSilent(
                mContext, mExchange.id(), mAttemptNumber, mPlan, mProgress, span, sentElsewhere);
        return sentElsewhere;
    }

    @Override
    public void onHead(AnswerHead head) {
        mHead = Optional.of(head);
        mProgress.recordHead();
        mContext.reach().recordAnswer(mPlan.endpoint().service(), mStartedAt);
        Instant now = mContext.clocks().now();
        mContext.tracker().recordFirstByte(mPlan.endpoint().id(), mStartedAt, now);
        if (!mExchange.head().attemptId().equals(head.attemptId())) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is to another request");
            return;
        }
        mContext.endpointStatus()
                .apply(mPlan.endpoint().run(), head, mExchange.id().value(), mStartedAt, now);
        if (head.notRun() || head.status() == MISDIRECTED) {
            mContext.tracker().recordRefusal(mPlan.faultyEndpoint(head), now);
            fail(Delivery.REFUSED, "the endpoint refused it with " + head.status());
        } else if (head.success() && !head.sealed()) {
            fail(Delivery.MAY_HAVE_RUN, "a success without the endpoint's mark");
        }
    }

    @Override
    public void onData(Buffer part) {
        mContext.tracker().recordBytes(mPlan.endpoint().id(), mContext.clocks().now());
        if (isStreaming()) {
            relayEvents(part);
        } else if (mBody.length() + part.length() > AnswerBody.MAX_BYTES) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is over " + AnswerBody.MAX_BYTES + " bytes");
        } else {
            mBody.append(part);
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
                clearOnceSettled();
            }
            for (StreamEvent event : events) {
                if (mayRelay(event)) {
                    relay(event);
                }
            }
            mBody.setPartial(mParser.heldBytes());
            if (progress && !mFinished && mExchange.route().repeatable()) {
                mSilence.start(ResponseTimeouts.betweenEvents(mExchange.route()));
            }
        } catch (MalformedStreamException e) {
            fail(Delivery.MAY_HAVE_RUN, e.getMessage());
        }
    }

    /** Comments don't decide which of two attempts is relayed. */
    private boolean mayRelay(StreamEvent event) {
        return event.progress() || mProgress.isWriting() || mOwner.isOnlyAttempt();
    }

    private void relay(StreamEvent event) throws MalformedStreamException {
        mRelay.relay(mHead.orElseThrow(), event, mSource, mContext.clocks().now());
        if (event.progress()) {
            mOwner.onRelayed(this);
        }
    }

    private void onFirstEvent() {
        if (mProgress.recordEvent(mContext.clocks().now())) {
            mContext.tracker().recordSuccess(mPlan.endpoint().id());
            mWork.recordWriting();
        }
    }

    /** Clears the request of suspicion once its answer is well under way. */
    private void clearOnceSettled() {
        Instant now = mContext.clocks().now();
        if (mProgress.hasSettled(now)) {
            mContext.quarantine().recordAnswered(mExchange::suspects, now);
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
        if (!head.success()) {
            finish();
            mOwner.onErrorAnswer(this, head, mBody);
            return;
        }
        mContext.tracker().recordSuccess(mPlan.endpoint().id());
        mContext.quarantine().recordAnswered(mExchange::suspects, mContext.clocks().now());
        mWork.learnFromAnswer(mRelay.eventCount());
        finish();
        mBody.onEnded(mGuard.wrap(mOwner::onCallerTooSlow));
        if (isStreaming()) {
            mRelay.end(head, mBody);
        } else {
            mExchange.answer().writeWhole(head, mBody);
        }
        mOwner.onAnswered(
                mRelay.eventCount(), mRelay.firstEventAt().orElseGet(mContext.clocks()::now));
    }

    @Override
    public void onFailed(Delivery delivery, String detail) {
        if (delivery == Delivery.NOT_DELIVERED) {
            mContext.reach().recordUnreachable(mPlan.endpoint(), detail);
        }
        fail(delivery, detail);
    }

    @Override
    public void onClosed(String detail) {
        if (mHead.isEmpty() && !mFinished) {
            mContext.reach().recordUnreachable(mPlan.endpoint(), detail);
        }
        boolean closedEarly =
                !mFinished
                        && !mContext.state().endpoints().leaving().contains(mPlan.endpoint().run())
                        && !mProgress.hasSettled(mContext.clocks().now());
        if (closedEarly) {
            onClosedEarly(detail);
        } else {
            fail(Delivery.MAY_HAVE_RUN, detail);
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
                mContext.crashes().onConnectionClosed(mPlan.endpoint(), suspects(), begun);
        if (begun) {
            end(Delivery.MAY_HAVE_RUN, detail, true);
            mGuard.subscribe(
                    crashed,
                    c -> {
                        if (c) {
                            mOwner.onCrashedEndpoint(this, detail);
                        } else {
                            mOwner.onFailed(this, Delivery.MAY_HAVE_RUN, detail);
                        }
                    });
        } else {
            mGuard.subscribe(crashed, c -> {});
            fail(Delivery.MAY_HAVE_RUN, detail);
        }
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
        mOwner.onFailed(this, delivery, detail);
    }

    private void end(Delivery delivery, String detail, boolean endpointAtFault) {
        cancel();
        Instant now = mContext.clocks().now();
        if (endpointAtFault) {
            mContext.tracker().recordFailure(mPlan.endpoint().run(), now);
        }
        AttemptLog.recordFailed(
                mContext,
                mExchange.id(),
                mAttemptNumber,
                mPlan,
                mProgress,
                delivery,
                detail,
                Duration.between(mStartedAt, now));
    }

    private void finish() {
        mFinished = true;
        mContext.quarantine().unwatch(this);
        mSilence.stop();
        mEngineEnd.stop();
        mMemory.forEach(MemoryReservation::release);
        mWork.end();
    }
}
