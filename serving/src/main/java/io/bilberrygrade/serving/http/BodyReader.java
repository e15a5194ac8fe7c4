package io.bilberrygrade.serving.http;

import io.vertx.core.buffer.Buffer;

/** Buffers a request body up to a size limit; reads and discards the rest. */
public final class BodyReader {
    private final long mMaxBytes;
    private final Buffer mBody = Buffer.buffer();
    private long mBytes;

    /** Creates a reader of a body of at most the given length in bytes. */
    public BodyReader(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Adds a part of the body. */
    public void add(Buffer part) {
        mBytes += part.length();
        if (!isTooLarge()) {
            mBody.appendBuffer(part);
        }
    }

    /** Returns whether the body exceeds the limit. */
    public boolean isTooLarge() {
        return mBytes > mMaxBytes;
    }

    /** Returns what was read up to the limit. */
    public Buffer body() {
        return mBody;
    }
}
