package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.answer.AnswerBody;
import io.bilberrygrade.serving.http.Connections;
import io.bilberrygrade.serving.relay.HandOver;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The answer to one caller. It is ended only once; nothing is written after the caller has
 * disconnected.
 */
final class CallerAnswer {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final HttpServerRequest mRequest;
    private final HttpServerResponse mResponse;
    private final BooleanSupplier mStopping;
    private Runnable mOnGone = () -> {};
    private Runnable mOnEnd = () -> {};
    private boolean mCloseAfterEnd;
    private boolean mGone;
    private boolean mEnded;
    private boolean mOnEndRun;

    /** Creates an answer; {@code stopping} tells whether this instance is about to stop. */
    CallerAnswer(HttpServerRequest request, BooleanSupplier stopping) {
        mRequest = request;
        mStopping = stopping;
        mResponse = request.response();
        mResponse.closeHandler(v -> handleClosed());
        mResponse.exceptionHandler(e -> handleClosed());
    }

    /** Registers an action to run if the caller disconnects before the answer has ended. */
    void onGone(Runnable action) {
        mOnGone = action;
        if (mGone) {
            action.run();
        }
    }

    /** Adds an action to run once the last byte has been written, or can't be written any more. */
    void onEnd(Runnable action) {
        if (mOnEndRun) {
            action.run();
            return;
        }
        Runnable before = mOnEnd;
        mOnEnd =
                () -> {
                    before.run();
                    action.run();
                };
    }

    private void runOnEnd() {
        if (!mOnEndRun) {
            mOnEndRun = true;
            mOnEnd.run();
        }
    }

    /** Returns whether the head of the answer has been written. */
    boolean hasBegun() {
        return mResponse.headWritten();
    }

    /** Returns whether nothing more is written of the answer. */
    boolean hasEnded() {
        return mEnded;
    }

    /**
     * Closes the connection after this answer, so that the caller reconnects to another instance.
     */
    void closeConnectionAfterwards() {
        if (!hasBegun() && !mEnded) {
            mResponse.putHeader("Connection", "close");
            mCloseAfterEnd = true;
        }
    }

    /** Marks a refusal as one of this daemon alone, so that a peer may ask another daemon. */
    void markAsPeerRefusal() {
        if (!hasBegun() && !mEnded) {
            mResponse.putHeader(HandOver.REFUSED, "1");
        }
    }

    /** Writes a plain-text answer of this daemon itself. */
    void writeRefusal(int status, String text, Optional<Duration> retryAfter) {
        if (mEnded) {
            return;
        }
        closeConnectionIfStopping();
        mResponse.setStatusCode(status).putHeader("Content-Type", "text/plain");
        retryAfter.ifPresent(r -> mResponse.putHeader("Retry-After", formatSeconds(r)));
        finish(Buffer.buffer(text + "\n"));
    }

    private static String formatSeconds(Duration span) {
        return String.format(Locale.ROOT, "%.3f", span.toMillis() / MILLIS_PER_SECOND);
    }

    /** Writes a complete answer of an endpoint, whose body is released once it is written. */
    void writeWhole(AnswerHead head, AnswerBody body) {
        onEnd(body::release);
        if (mEnded) {
            return;
        }
        mResponse.setStatusCode(head.status());
        mResponse.headers().addAll(head.passedOn());
        closeConnectionIfStopping();
        List<Buffer> blocks = body.blocks();
        if (blocks.isEmpty()) {
            finish(Buffer.buffer());
            return;
        }
        mResponse.putHeader("Content-Length", Integer.toString(body.length()));
        blocks.subList(0, blocks.size() - 1).forEach(mResponse::write);
        finish(blocks.getLast());
    }

    /** Keeps the caller from sending its next request into the stop. */
    private void closeConnectionIfStopping() {
        if (mStopping.getAsBoolean()) {
            closeConnectionAfterwards();
        }
    }

    /** Starts a chunked answer whose body follows in parts. */
    void begin(AnswerHead head) {
        if (!mEnded) {
            mResponse.setStatusCode(head.status()).setChunked(true);
            mResponse.headers().addAll(head.passedOn());
            closeConnectionIfStopping();
        }
    }

    /** Writes a part of the body; returns whether the caller can take more. */
    boolean write(Buffer part) {
        if (mEnded) {
            return true;
        }
        mResponse.write(part);
        return !mResponse.writeQueueFull();
    }

    /** Registers an action to run once the caller's connection accepts more data. */
    void onWritable(Runnable action) {
        mResponse.drainHandler(v -> action.run());
    }

    /** Ends a chunked answer. */
    void end() {
        if (!mEnded) {
            finish(Buffer.buffer());
        }
    }

    /**
     * Closes the connection in the middle of an answer, so that the caller can't take it for
     * complete.
     */
    void abort() {
        if (!mEnded) {
            mEnded = true;
            mRequest.connection().close();
            runOnEnd();
        }
    }

    /**
     * Closes the connection at once, also if all of the answer waits to be sent. Does nothing once
     * it is sent.
     */
    void abortNow() {
        if (!mOnEndRun) {
            mEnded = true;
            Connections.closeNow(mRequest.connection());
            runOnEnd();
        }
    }

    private void finish(Buffer last) {
        mEnded = true;
        Future<Void> written = mResponse.end(last);
        written.onComplete(
                w -> {
                    if (mCloseAfterEnd) {
                        mRequest.connection().close();
                    }
                    runOnEnd();
                });
    }

    private void handleClosed() {
        if (!mEnded) {
            mEnded = true;
            mGone = true;
            mOnGone.run();
        }
        runOnEnd();
    }
}
