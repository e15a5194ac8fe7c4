package io.bilberrygrade.serving.answer;

import com.google.common.primitives.Ints;
import io.netty.buffer.ByteBuf;
import java.util.Optional;

/** Checks the framing of a body in chunks (RFC 9112, section 7.1). */
final class ChunkedBody {
    private static final int HEX_BITS = 4;
    private static final int MAX_EXTENSION_BYTES = 4_096;

    private final LineReader mTrailer = new LineReader();
    private final int mMaxTrailerBytes;
    private State mState = State.SIZE_START;
    private long mChunkLeft;
    private int mExtensionBytes;
    private int mTrailerBytes;
    private long mBodyBytes;

    ChunkedBody(int maxTrailerBytes) {
        mMaxTrailerBytes = maxTrailerBytes;
    }

    /** Returns whether the last byte of the body and its trailers was read. */
    boolean isComplete() {
        return mState == State.COMPLETE;
    }

    /** Returns the bytes of the body so far, without its framing. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Reads to the end of the buffer or of the body. */
    void read(ByteBuf in) throws MalformedAnswerException {
        while (in.isReadable() && !isComplete()) {
            switch (mState) {
                case DATA -> readData(in);
                case TRAILERS -> readTrailers(in);
                default -> readFraming(in.readByte());
            }
        }
    }

    private void readData(ByteBuf in) {
        int taken = Math.min(in.readableBytes(), Ints.saturatedCast(mChunkLeft));
        in.skipBytes(taken);
        mBodyBytes += taken;
        mChunkLeft -= taken;
        if (mChunkLeft == 0) {
            mState = State.DATA_CR;
        }
    }

    private void readTrailers(ByteBuf in) throws MalformedAnswerException {
        int start = in.readerIndex();
        Optional<String> line = mTrailer.read(in);
        mTrailerBytes += in.readerIndex() - start;
        if (mTrailerBytes > mMaxTrailerBytes) {
            throw new MalformedAnswerException("the trailers are over the limit");
        }
        if (line.isPresent()) {
            if (line.get().isEmpty()) {
                mState = State.COMPLETE;
            } else {
                FieldLine.parse(line.get());
            }
        }
    }

    private void readFraming(byte b) throws MalformedAnswerException {
        mState =
                switch (mState) {
                    case SIZE_START -> firstDigit(b);
                    case SIZE -> sizeOrEnd(b);
                    case EXTENSION -> extensionOrEnd(b);
                    case SIZE_LF -> {
                        require(b == '\n');
                        yield mChunkLeft == 0 ? State.TRAILERS : State.DATA;
                    }
                    case DATA_CR -> {
                        require(b == '\r');
                        yield State.DATA_LF;
                    }
                    case DATA_LF -> {
                        require(b == '\n');
                        yield State.SIZE_START;
                    }
                    case DATA, TRAILERS, COMPLETE -> throw new IllegalStateException();
                };
    }

    private State firstDigit(byte b) throws MalformedAnswerException {
        mChunkLeft = 0;
        mExtensionBytes = 0;
        addDigit(b);
        return State.SIZE;
    }

    private State sizeOrEnd(byte b) throws MalformedAnswerException {
        if (b == '\r') {
            return State.SIZE_LF;
        }
        if (b == ';') {
            return State.EXTENSION;
        }
        addDigit(b);
        return State.SIZE;
    }

    private void addDigit(byte b) throws MalformedAnswerException {
        int digit = Character.digit(b, 1 << HEX_BITS);
        require(digit >= 0 && mChunkLeft <= Integer.MAX_VALUE >> HEX_BITS);
        mChunkLeft = (mChunkLeft << HEX_BITS) + digit;
    }

    private State extensionOrEnd(byte b) throws MalformedAnswerException {
        if (b == '\r') {
            return State.SIZE_LF;
        }
        mExtensionBytes++;
        require(
                mExtensionBytes <= MAX_EXTENSION_BYTES
                        && FieldLine.TEXT.matches((char) Byte.toUnsignedInt(b)));
        return State.EXTENSION;
    }

    private static void require(boolean valid) throws MalformedAnswerException {
        if (!valid) {
            throw new MalformedAnswerException("the framing of a chunk is malformed");
        }
    }

    /** What comes next. */
    private enum State {
        SIZE_START,
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILERS,
        COMPLETE
    }
}
