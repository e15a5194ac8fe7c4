package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.serving.http.BodyReader;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tracks requests whose bodies are still arriving, so that a caller that stalls doesn't hold a
 * connection forever.
 */
final class Uploads {
    private final Clocks mClocks;
    private final List<Upload> mOpen = new ArrayList<>();

    Uploads(Clocks clocks) {
        mClocks = clocks;
    }

    /** Reads a body; {@code whole} is called unless the caller disconnects or stalls. */
    void read(HttpServerRequest request, long maxBytes, Consumer<Upload> whole) {
        Upload upload = new Upload(request, new BodyReader(maxBytes), mClocks.now());
        mOpen.add(upload);
        request.handler(
                part -> {
                    upload.mLastPartAt = mClocks.now();
                    upload.mBody.add(part);
                });
        request.endHandler(
                v -> {
                    if (mOpen.remove(upload)) {
                        whole.accept(upload);
                    }
                });
    }

    /** Removes the uploads of a closed connection. */
    void removeAll(HttpConnection connection) {
        mOpen.removeIf(u -> u.mRequest.connection().equals(connection));
    }

    /** Returns the number of open uploads. */
    int count() {
        return mOpen.size();
    }

    /** Removes and returns all uploads. */
    ImmutableList<Upload> removeAll() {
        ImmutableList<Upload> all = ImmutableList.copyOf(mOpen);
        mOpen.clear();
        return all;
    }

    /** Removes and returns the uploads that have received nothing for at least the given time. */
    ImmutableList<Upload> removeStalled(Duration span, Instant now) {
        ImmutableList<Upload> stalled =
                mOpen.stream()
                        .filter(u -> !u.mLastPartAt.plus(span).isAfter(now))
                        .collect(ImmutableList.toImmutableList());
        mOpen.removeAll(stalled);
        return stalled;
    }

    /** A request and the part of its body that has arrived. */
    static final class Upload {
        private final HttpServerRequest mRequest;
        private final BodyReader mBody;
        private final Instant mArrival;
        private Instant mLastPartAt;

        private Upload(HttpServerRequest request, BodyReader body, Instant arrival) {
            mRequest = request;
            mBody = body;
            mArrival = arrival;
            mLastPartAt = arrival;
        }

        HttpServerRequest request() {
            return mRequest;
        }

        BodyReader body() {
            return mBody;
        }

        Instant arrival() {
            return mArrival;
        }
    }
}
