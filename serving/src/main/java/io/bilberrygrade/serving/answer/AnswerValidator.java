package io.bilberrygrade.serving.answer;

import com.google.common.primitives.Ints;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Checks the bytes of the answers on one connection. A head is passed on once all of it is valid,
 * and a body as it arrives. Interim answers are dropped.
 */
final class AnswerValidator {
    private final AnswerLimits mLimits;

    /** For each request without a whole answer, whether its method is HEAD. */
    private final Queue<Boolean> mAwaited = new ArrayDeque<>();

    private final LineReader mLines = new LineReader();
    private ByteBuf mHead = Unpooled.buffer();
    private AnswerHeadParser mParser = new AnswerHeadParser();
    private int mHeadBytes;
    private Optional<Body> mBody = Optional.empty();

    AnswerValidator(AnswerLimits limits) {
        mLimits = limits;
    }

    /** Expects another answer; {@code toHead} is whether the request has the method HEAD. */
    void expectAnswer(boolean toHead) {
        mAwaited.add(toHead);
    }

    /** Returns whether the answer that is being read ends with the connection. */
    boolean endsWithConnection() {
        return mBody.filter(b -> b.framing() instanceof AnswerFraming.UntilClose).isPresent();
    }

    /**
     * Reads up to the end of the buffer and passes on what is valid. Bytes that belong to no
     * request are left unread.
     */
    void read(ByteBuf in, Consumer<ByteBuf> out) throws MalformedAnswerException {
        while (in.isReadable() && !mAwaited.isEmpty()) {
            if (mBody.isPresent()) {
                readBody(mBody.get(), in, out);
            } else {
                readHead(in, out);
            }
        }
    }

    private void readHead(ByteBuf in, Consumer<ByteBuf> out) throws MalformedAnswerException {
        int start = in.readerIndex();
        Optional<String> line = mLines.read(in);
        int taken = in.readerIndex() - start;
        mHeadBytes += taken;
        if (mHeadBytes > mLimits.maxHeadBytes()) {
            throw new MalformedAnswerException(
                    "the head is over " + mLimits.maxHeadBytes() + " bytes");
        }
        mHead.writeBytes(in, start, taken);
        if (line.isPresent()) {
            if (line.get().isEmpty()) {
                endHead(out);
            } else {
                mParser.add(line.get());
            }
        }
    }

    private void endHead(Consumer<ByteBuf> out) throws MalformedAnswerException {
        StatusLine statusLine = mParser.statusLine();
        if (statusLine.switchesProtocols()) {
            throw new MalformedAnswerException("the answer switches to another protocol");
        }
        AnswerFraming framing = mParser.framing(mAwaited.element());
        mParser = new AnswerHeadParser();
        ByteBuf head = mHead;
        mHead = Unpooled.buffer();
        if (statusLine.isInterim()) {
            head.release();
            return;
        }
        mHeadBytes = 0;
        Body body =
                new Body(framing, mLimits.maxBytes(statusLine.status()), mLimits.maxHeadBytes());
        mBody = Optional.of(body);
        body.checkLimit();
        out.accept(head);
        endBodyIfComplete(body);
    }

    private void readBody(Body body, ByteBuf in, Consumer<ByteBuf> out)
            throws MalformedAnswerException {
        int start = in.readerIndex();
        body.read(in);
        out.accept(in.retainedSlice(start, in.readerIndex() - start));
        endBodyIfComplete(body);
    }

    private void endBodyIfComplete(Body body) {
        if (body.isComplete()) {
            mBody = Optional.empty();
            mAwaited.remove();
        }
    }

    /** Releases what is held of a head. */
    void release() {
        mHead.release();
        mHead = Unpooled.EMPTY_BUFFER;
    }

    /** Progress in a body. */
    private static final class Body {
        private final AnswerFraming mFraming;
        private final long mMaxBytes;
        private final ChunkedBody mChunks;
        private long mBytes;

        Body(AnswerFraming framing, long maxBytes, int maxTrailerBytes) {
            mFraming = framing;
            mMaxBytes = maxBytes;
            mChunks = new ChunkedBody(maxTrailerBytes);
        }

        AnswerFraming framing() {
            return mFraming;
        }

        boolean isComplete() {
            return switch (mFraming) {
                case AnswerFraming.Empty e -> true;
                case AnswerFraming.Sized s -> mBytes == s.bytes();
                case AnswerFraming.Chunked c -> mChunks.isComplete();
                case AnswerFraming.UntilClose u -> false;
            };
        }

        /** Reads up to the end of the buffer or of the body. */
        void read(ByteBuf in) throws MalformedAnswerException {
            switch (mFraming) {
                case AnswerFraming.Empty e -> {}
                case AnswerFraming.Sized s -> skip(in, s.bytes() - mBytes);
                case AnswerFraming.Chunked c -> {
                    mChunks.read(in);
                    mBytes = mChunks.bodyBytes();
                }
                case AnswerFraming.UntilClose u -> skip(in, in.readableBytes());
            }
            checkLimit();
        }

        private void skip(ByteBuf in, long maxBytes) {
            int taken = Math.min(in.readableBytes(), Ints.saturatedCast(maxBytes));
            in.skipBytes(taken);
            mBytes += taken;
        }

        /** Checks the stated length before any of the body comes, and each part as it comes. */
        void checkLimit() throws MalformedAnswerException {
            long bytes = mFraming instanceof AnswerFraming.Sized s ? s.bytes() : mBytes;
            if (bytes > mMaxBytes) {
                throw new MalformedAnswerException("the body is over " + mMaxBytes + " bytes");
            }
        }
    }
}
