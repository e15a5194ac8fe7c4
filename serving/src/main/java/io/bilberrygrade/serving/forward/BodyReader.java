package io.bilberrygrade.serving.forward;

import io.vertx.core.buffer.Buffer;

/** Gathers the body of a request up to a bound; what is beyond it is read and dropped. */
final class BodyReader {
    private final long mMaxBytes;
    private final Buffer mBody = Buffer.buffer();
    private long mBytes;

    BodyReader(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    void add(Buffer part) {
        mBytes += part.length();
        if (!tooLarge()) {
            mBody.appendBuffer(part);
        }
    }

    boolean tooLarge() {
        return mBytes > mMaxBytes;
    }

    Buffer body() {
        return mBody;
    }
}
