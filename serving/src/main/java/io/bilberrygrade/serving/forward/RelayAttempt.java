package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.EndpointBackoffs;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.answer.EventStreamParser;
import io.bilberrygrade.serving.answer.MalformedStreamException;
import io.bilberrygrade.serving.answer.StreamEvent;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.error.ErrorGuard;
import io.bilberrygrade.serving.event.RelayEvent;
import io.bilberrygrade.serving.relay.HandOver;
import io.bilberrygrade.serving.room.ResponseTimeouts;
import io.bilberrygrade.serving.room.SilenceWatch;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;

/**
 * One attempt of a request through a peer, which chooses the endpoints, counts what it sends to
 * them, and returns their answer. Relays that answer as one of an endpoint.
 */
final class RelayAttempt implements EndpointListener, AttemptsInFlight.Attempt {
    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final Address mPeer;
    private final HandOver mHandOver;
    private final Duration mTimeLeft;
    private final AnswerRelay mRelay;
    private final AttemptOwner mOwner;
    private final EventStreamParser mParser = new EventStreamParser();
    private final SilenceWatch mSilence;
    private final Instant mStartedAt;
    private final AnswerBody mBody;
    private final EndpointCall mCall;
    private final AnswerRelay.Source mSource;
    private AnswerHead mHead;
    private boolean mSent;
    private boolean mFinished;

    RelayAttempt(
            ForwardContext context,
            ForwardExchange exchange,
            Address peer,
            HandOver handOver,
            Duration timeLeft,
            AnswerRelay relay,
            AttemptOwner owner) {
        mContext = context;
        mExchange = exchange;
        mPeer = peer;
        mHandOver = handOver;
        mTimeLeft = timeLeft;
        mRelay = relay;
        mOwner = owner;
        ErrorGuard guard = exchange.guard();
        mSilence = new SilenceWatch(context.timers(), guard.wrapCondition(this::onSilence));
        mBody =
                context.client()
                        .newBody(
                                new EndpointId(peer.toString()),
                                guard.wrap(this::onMemoryExhausted));
        mStartedAt = context.clocks().now();
        mCall = context.client().newCall(this, guard);
        mSource = new AnswerRelay.Source(mCall, mSilence, mBody, guard);
    }

    /** Starts the attempt. */
    void start() {
        mContext.reach().relays().recordStarted(mPeer);
        MultiMap headers =
                mContext.protocol().writeHandOver(mExchange.head(), mTimeLeft, mRelay.lastId());
        mHandOver.write(headers);
        mCall.send(mPeer, mExchange.head(), headers, mExchange.body());
    }

    @Override
    public boolean mayHaveRun() {
        return mSent;
    }

    @Override
    public void recordFailed(AttemptHistory history, Delivery delivery) {
        if (delivery != Delivery.MAY_HAVE_RUN) {
            history.recordNotHandedOver(mHandOver.attempts());
        }
    }

    @Override
    public void watchForSilence() {
        if (!mFinished) {
            mSilence.restart();
        }
    }

    @Override
    public void cancel() {
        if (!mFinished) {
            finish();
            mBody.release();
            mCall.cancel();
        }
    }

    private void onMemoryExhausted() {
        if (mBody.waitsForCaller()) {
            mOwner.onCallerTooSlow();
        } else {
            fail(Delivery.MAY_HAVE_RUN, "it holds most of the memory for answers");
        }
    }

    /** Goes to another peer as well: this one may have stopped or frozen. */
    private boolean onSilence(Duration span) {
        mContext.reach().relays().recordFailed(mPeer);
        return mOwner.trySendElsewhere(mContext.clocks().now());
    }

    @Override
    public void onConnected() {
        mSent = true;
        if (mExchange.route().repeatable()) {
            mSilence.start(ResponseTimeouts.firstByte(mExchange.route()));
        }
    }

    @Override
    public void onHead(AnswerHead head) {
        mHead = head;
        if (head.passedOn().contains(HandOver.REFUSED)) {
            mContext.reach()
                    .relays()
                    .recordRefused(mPeer, head.retryAfter().flatMap(EndpointBackoffs::parse));
            fail(Delivery.REFUSED, "the peer refused it with " + head.status());
        } else if (head.success() && !head.sealed()) {
            fail(Delivery.MAY_HAVE_RUN, "a success without the endpoint's mark");
        } else if (head.sealed() && !mExchange.head().attemptId().equals(head.attemptId())) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is to another request");
        }
    }

    @Override
    public void onData(Buffer part) {
        if (mFinished) {
            return;
        }
        if (isStreaming()) {
            relayEvents(part);
        } else if (mBody.length() + part.length() > AnswerBody.MAX_BYTES) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is over " + AnswerBody.MAX_BYTES + " bytes");
        } else {
            mBody.append(part);
        }
    }

    private boolean isStreaming() {
        return mExchange.route().kind() == RouteKind.STREAMING && mHead.success();
    }

    private void relayEvents(Buffer part) {
        try {
            for (StreamEvent event : mParser.feed(part)) {
                relay(event);
            }
            mBody.setPartial(mParser.heldBytes());
            if (!mFinished && mExchange.route().repeatable()) {
                mSilence.start(ResponseTimeouts.betweenEvents(mExchange.route()));
            }
        } catch (MalformedStreamException e) {
            fail(Delivery.MAY_HAVE_RUN, e.getMessage());
        }
    }

    private void relay(StreamEvent event) throws MalformedStreamException {
        if (mFinished || (!event.progress() && !mOwner.isOnlyAttempt())) {
            return;
        }
        mRelay.relay(mHead, event, mSource, mContext.clocks().now());
        if (event.progress()) {
            mOwner.onRelayed(this);
        }
    }

    @Override
    public void onEnd() {
        if (mFinished) {
            return;
        }
        if (isStreaming() && !mParser.atBoundary()) {
            fail(Delivery.MAY_HAVE_RUN, "the stream ended within an event");
            return;
        }
        finish();
        if (!mHead.success()) {
            onErrorAnswer();
            return;
        }
        mBody.onEnded(mExchange.guard().wrap(mOwner::onCallerTooSlow));
        if (isStreaming()) {
            mRelay.end(mHead, mBody);
        } else {
            mExchange.answer().writeWhole(mHead, mBody);
        }
        mOwner.onAnswered(
                mRelay.eventCount(), mRelay.firstEventAt().orElseGet(mContext.clocks()::now));
    }

    /** An endpoint's answer has its mark; another one is a refusal of the peer itself. */
    private void onErrorAnswer() {
        if (mHead.sealed() || !mHead.impliesNotRun()) {
            mOwner.onErrorAnswer(this, mHead, mBody);
        } else {
            mOwner.onPeerRefusal(this, mHead, mBody);
        }
    }

    @Override
    public void onClosed(String detail) {
        fail(Delivery.MAY_HAVE_RUN, detail);
    }

    @Override
    public void onFailed(Delivery delivery, String detail) {
        fail(delivery, detail);
    }

    private void fail(Delivery delivery, String detail) {
        if (mFinished) {
            return;
        }
        finish();
        mBody.release();
        mCall.cancel();
        if (delivery != Delivery.REFUSED) {
            mContext.reach().relays().recordFailed(mPeer);
        }
        mContext.events()
                .record(
                        new RelayEvent.HandOverFailed(
                                mExchange.id().value(),
                                mPeer.toString(),
                                delivery.name(),
                                detail,
                                Duration.between(mStartedAt, mContext.clocks().now()).toMillis()));
        mOwner.onFailed(this, delivery, detail);
    }

    private void finish() {
        mFinished = true;
        mSilence.stop();
        mContext.reach().relays().recordEnded(mPeer);
    }
}
