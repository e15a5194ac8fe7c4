package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.forward.RegisteredEndpoint;
import io.bilberrygrade.core.forward.RestingEndpoints;
import io.bilberrygrade.core.forward.RouteKind;
import io.bilberrygrade.core.forward.SendingWork;
import io.bilberrygrade.core.forward.SilenceJudge;
import io.bilberrygrade.core.forward.SilenceJudge.Heard;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.smallrye.mutiny.subscription.Cancellable;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** One sending of a request to one endpoint: judges the answer and passes it on. */
final class ForwardAttempt implements EndpointListener {
    /** Largest answer that is gathered before it is passed on, in bytes. */
    private static final int MAX_GATHERED_BYTES = 8 << 20;

    private static final int MISDIRECTED = 421;

    private final ForwardParts mParts;
    private final ForwardExchange mExchange;
    private final PlacedSend mPlaced;
    private final ImmutableList<MemoryReservation> mMemory;
    private final int mNumber;
    private final AnswerRelay mRelay;
    private final Owner mOwner;
    private final EventStreamParser mParser = new EventStreamParser();
    private final Instant mStartedAt;
    private Buffer mGathered = Buffer.buffer();
    private Optional<AnswerHead> mHead = Optional.empty();
    private Optional<Cancellable> mSilenceTimer = Optional.empty();
    private Optional<Cancellable> mReadTimer = Optional.empty();
    private ImmutableMap<EndpointId, EndpointWork> mCounted = ImmutableMap.of();
    private Optional<Instant> mFirstAt = Optional.empty();
    private EndpointCall mCall;
    private boolean mSent;
    private boolean mOver;

    ForwardAttempt(
            ForwardParts parts,
            ForwardExchange exchange,
            PlacedSend placed,
            ImmutableList<MemoryReservation> memory,
            int number,
            AnswerRelay relay,
            Owner owner) {
        mParts = parts;
        mExchange = exchange;
        mPlaced = placed;
        mMemory = memory;
        mNumber = number;
        mRelay = relay;
        mOwner = owner;
        mStartedAt = parts.clocks().now();
    }

    /** Starts the sending; the endpoint has the given time. */
    void start(Duration left) {
        count(mPlaced.work().reading());
        if (mPlaced.readByMillis() > 0) {
            mReadTimer =
                    after(
                            Duration.ofMillis(mPlaced.readByMillis()).plus(SendingWork.PASS),
                            this::readByNow);
        }
        SendOrder order =
                new SendOrder(
                        mPlaced.endpoint(),
                        mExchange.team(),
                        left,
                        mRelay.lastId(),
                        helpers(),
                        Urgency.of(mExchange.route()));
        mCall = mParts.client().send(mExchange.head(), mExchange.body(), order, this);
    }

    private ImmutableList<SendOrder.Helper> helpers() {
        return mPlaced.helpers().stream()
                .map(h -> new SendOrder.Helper(h.address(), reservationOn(h)))
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<String> reservationOn(RegisteredEndpoint engine) {
        return mMemory.stream()
                .filter(r -> r.engine().equals(engine))
                .map(MemoryReservation::id)
                .findFirst();
    }

    /** Returns whether the endpoint may have begun to run the request. */
    boolean mayHaveRun() {
        return mSent;
    }

    /** Ends the sending; the endpoint stops when it sees the connection close. */
    void cancel() {
        if (!mOver) {
            over();
            mCall.cancel();
        }
    }

    @Override
    public void sent() {
        mSent = true;
        if (mExchange.route().repeatable()) {
            awaitFirstByte();
        }
    }

    /** Waits on while the endpoint is only busy, or while the request may not go elsewhere. */
    private void awaitFirstByte() {
        Duration patience = SilenceLimit.firstByte(mExchange.route());
        mSilenceTimer = after(patience, () -> judgeSilence(patience));
    }

    private void judgeSilence(Duration patience) {
        Instant now = mParts.clocks().now();
        Heard heard = mParts.book().heardOf(mPlaced.endpoint().id());
        if (mOwner.mayGoElsewhere(now) && SilenceJudge.lost(mStartedAt, patience, heard, now)) {
            failForSilence(patience, true);
        } else {
            awaitFirstByte();
        }
    }

    @Override
    public void head(AnswerHead head) {
        mHead = Optional.of(head);
        mParts.book().answered(mPlaced.endpoint().id(), mStartedAt, mParts.clocks().now());
        if (!mExchange.head().attemptId().equals(head.attemptId())) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is to another request");
            return;
        }
        learn(head);
        if (head.notRun() || head.status() == MISDIRECTED) {
            refused(head);
        } else if (head.success() && !head.sealed()) {
            fail(Delivery.MAY_HAVE_RUN, "a success without the endpoint's mark");
        }
    }

    /** Takes note of what the endpoint says of itself, whatever becomes of the request. */
    private void learn(AnswerHead head) {
        EndpointRun run = mPlaced.endpoint().run();
        if (head.leaving()) {
            mParts.state().endpointLeaves(run, "answer");
        }
        if (head.busy()) {
            head.retryAfter().ifPresent(text -> rest(run, text));
        }
    }

    private void rest(EndpointRun run, String text) {
        Optional<Duration> rest = RestingEndpoints.parse(text);
        rest.ifPresent(
                r ->
                        mParts.book()
                                .rests(
                                        run,
                                        r,
                                        mParts.random().nextDouble(),
                                        mParts.clocks().now()));
        mParts.events()
                .record(
                        new ForwardEvent.EndpointRests(
                                mExchange.id().value(),
                                run.id().value(),
                                text,
                                rest.map(Duration::toMillis).orElse(0L)));
    }

    private void refused(AnswerHead head) {
        mParts.book().refused(blamed(head), mParts.clocks().now());
        fail(Delivery.REFUSED, "the endpoint refused it with " + head.status());
    }

    private EndpointId blamed(AnswerHead head) {
        return head.faulty()
                .flatMap(
                        a ->
                                mPlaced.helpers().stream()
                                        .filter(h -> h.address().equals(a))
                                        .findFirst())
                .map(RegisteredEndpoint::id)
                .orElse(mPlaced.endpoint().id());
    }

    @Override
    public void data(Buffer part) {
        mParts.book().heard(mPlaced.endpoint().id(), mParts.clocks().now());
        if (streaming()) {
            relay(part);
        } else if (mGathered.length() + part.length() > MAX_GATHERED_BYTES) {
            fail(Delivery.MAY_HAVE_RUN, "the answer is over " + MAX_GATHERED_BYTES + " bytes");
        } else {
            mGathered.appendBuffer(part);
        }
    }

    private boolean streaming() {
        return mExchange.route().kind() == RouteKind.STREAMING
                && mHead.filter(AnswerHead::success).isPresent();
    }

    private void relay(Buffer part) {
        try {
            List<StreamEvent> events = mParser.feed(part);
            boolean progress = events.stream().anyMatch(StreamEvent::progress);
            if (progress) {
                firstEvent();
            }
            for (StreamEvent event : events) {
                if (!mRelay.pass(mHead.orElseThrow(), event, mParts.clocks().now())) {
                    mCall.pause();
                    mRelay.answer().onRoom(mCall::resume);
                }
            }
            if (progress && mExchange.route().repeatable()) {
                expectWithin(SilenceLimit.betweenEvents(mExchange.route()));
            }
        } catch (MalformedStreamException e) {
            fail(Delivery.MAY_HAVE_RUN, e.getMessage());
        }
    }

    private void firstEvent() {
        if (mFirstAt.isEmpty()) {
            mFirstAt = Optional.of(mParts.clocks().now());
            mParts.book().succeeded(mPlaced.endpoint().id());
            count(mPlaced.work().writing());
        }
    }

    @Override
    public void end() {
        AnswerHead head = mHead.orElseThrow();
        if (mOver) {
            return;
        }
        if (streaming() && !mParser.atBoundary()) {
            fail(Delivery.MAY_HAVE_RUN, "the stream ended within an event");
            return;
        }
        over();
        if (!head.success()) {
            mOwner.answeredWithFailure(head, mGathered);
            return;
        }
        mParts.book().succeeded(mPlaced.endpoint().id());
        if (streaming()) {
            mRelay.end(head);
        } else {
            mExchange.answer().whole(head, mGathered);
        }
        mOwner.answered(mRelay.events(), mRelay.firstAt().orElseGet(mParts.clocks()::now));
    }

    @Override
    public void failed(Delivery delivery, String detail) {
        fail(delivery, detail);
    }

    /** Takes the request elsewhere. */
    private void failForSilence(Duration span, boolean atFault) {
        fail(Delivery.MAY_HAVE_RUN, "silent for " + span.toMillis() + " ms", atFault);
    }

    private void fail(Delivery delivery, String detail) {
        fail(delivery, detail, delivery != Delivery.REFUSED);
    }

    /** Ends the attempt; an endpoint at fault is avoided for a while. */
    private void fail(Delivery delivery, String detail, boolean atFault) {
        if (mOver) {
            return;
        }
        over();
        mCall.cancel();
        Instant now = mParts.clocks().now();
        if (atFault) {
            mParts.book().failed(mPlaced.endpoint().id(), now);
        }
        mParts.events()
                .record(
                        new ForwardEvent.AttemptFailed(
                                mExchange.id().value(),
                                mNumber,
                                mPlaced.endpoint().id().value(),
                                delivery.name(),
                                detail,
                                Duration.between(mStartedAt, now).toMillis()));
        mOwner.failed(delivery, detail);
    }

    /**
     * Waits for the next event. An engine that pauses may only be in a long pass; ejecting it would
     * send its load to the others just when all are busy. One that is dead takes no connection,
     * which ejects it.
     */
    private void expectWithin(Duration span) {
        mSilenceTimer.ifPresent(Cancellable::cancel);
        mSilenceTimer = after(span, () -> failForSilence(span, false));
    }

    private void over() {
        mOver = true;
        mSilenceTimer.ifPresent(Cancellable::cancel);
        mReadTimer.ifPresent(Cancellable::cancel);
        mMemory.forEach(MemoryReservation::release);
        count(ImmutableMap.of());
    }

    /** Stops counting the prompt as unread once it must have been read by what was predicted. */
    private void readByNow() {
        if (!mOver && mFirstAt.isEmpty()) {
            count(mPlaced.work().read());
        }
    }

    /** Counts what the sending is for each engine now, in place of what it was before. */
    private void count(ImmutableMap<EndpointId, EndpointWork> work) {
        mParts.book().work().replace(mCounted, work);
        mCounted = work;
    }

    private Optional<Cancellable> after(Duration span, Runnable action) {
        return Optional.of(mParts.timers().after(span).subscribe().with(v -> action.run()));
    }

    /** Hears how the attempt ended. */
    interface Owner {
        /** The attempt ended without an answer that can be used. */
        void failed(Delivery delivery, String detail);

        /** Returns whether the request may be sent to another endpoint now. */
        boolean mayGoElsewhere(Instant now);

        /** The endpoint ran the request and answered with a failure. */
        void answeredWithFailure(AnswerHead head, Buffer body);

        /** The caller has the whole answer. */
        void answered(long events, Instant firstAt);
    }
}
