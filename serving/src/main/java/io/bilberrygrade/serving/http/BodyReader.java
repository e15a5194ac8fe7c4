package io.bilberrygrade.serving.forward;

import io.vertx.core.buffer.Buffer;

/** Buffers a request body up to a size limit; reads and discards the rest. */
final class BodyReader {
    private final long mMaxBytes;
    private final Buffer mBody = Buffer.buffer();
    private long mBytes;

    BodyReader(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    void add(Buffer part) {
        mBytes += part.length();
        if (!isTooLarge()) {
            mBody.appendBuffer(part);
        }
    }

    boolean isTooLarge() {
        return mBytes > mMaxBytes;
    }

    Buffer body() {
        return mBody;
    }
}
