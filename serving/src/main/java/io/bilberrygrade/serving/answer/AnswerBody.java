package io.bilberrygrade.serving.answer;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.answer.AnswerMemory;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Body of an answer that is held until all of it has arrived, in blocks, so that it grows without
 * being copied. What it holds is counted.
 */
public final class AnswerBody {
    private static final int BLOCK_BYTES = 32 << 10;

    private final AnswerMemory<?>.Holding mHolding;
    private final List<Buffer> mBlocks = new ArrayList<>();
    private int mLength;

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
        mHolding.set(mLength);
    }

    /** Returns the length in bytes. */
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
