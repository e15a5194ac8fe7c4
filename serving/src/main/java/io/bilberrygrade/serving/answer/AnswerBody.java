package io.bilberrygrade.serving.answer;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.answer.AnswerMemory;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What is held of an answer's body, all of which is counted. A body that is held until it is whole
 * is kept in blocks, so that it grows without being copied.
 */
public final class AnswerBody {
    /** Limit in bytes of a body that is held until it is whole. */
    public static final int MAX_BYTES = 8 << 20;

    private static final int BLOCK_BYTES = 32 << 10;

    /** Bytes that wait for a caller while it can't take more, besides the last part. */
    private static final long WRITE_QUEUE_BYTES = 64 << 10;

    private final AnswerMemory<?>.Holding mHolding;
    private final List<Buffer> mBlocks = new ArrayList<>();
    private int mLength;
    private long mPartialBytes;
    private long mUnsentBytes;

    /** Creates an empty body, whose bytes are counted in a holding. */
    public AnswerBody(AnswerMemory<?>.Holding holding) {
        mHolding = holding;
    }

    /** Appends bytes, which may end this answer or others for the memory that they hold. */
    public void append(Buffer part) {
        if (mBlocks.isEmpty() || mBlocks.getLast().length() + part.length() > BLOCK_BYTES) {
            mBlocks.add(Buffer.buffer());
        }
        mBlocks.getLast().appendBuffer(part);
        mLength += part.length();
        count();
    }

    /** Sets the bytes that are held of an event that isn't complete. */
    public void setPartial(long bytes) {
        mPartialBytes = bytes;
        count();
    }

    /** Counts what waits for the caller, which can't take more after the given part. */
    public void onCallerBlocked(Buffer part) {
        mUnsentBytes = WRITE_QUEUE_BYTES + part.length();
        count();
    }

    /** The caller can take more. */
    public void onCallerReady() {
        mUnsentBytes = 0;
        count();
    }

    /** Returns whether the answer waits for its caller. */
    public boolean waitsForCaller() {
        return mUnsentBytes > 0;
    }

    private void count() {
        mHolding.set(mLength + mPartialBytes + mUnsentBytes);
    }

    /** Returns the length in bytes of what was appended. */
    public int length() {
        return mLength;
    }

    /** Returns the body's parts in order. */
    public ImmutableList<Buffer> blocks() {
        return ImmutableList.copyOf(mBlocks);
    }

    /** Replaces the action that ends the answer if answers hold too much. */
    public void onEnded(Runnable action) {
        mHolding.onEnd(action);
    }

    /** Drops the body and releases what it holds. */
    public void release() {
        mBlocks.clear();
        mHolding.release();
    }
}
