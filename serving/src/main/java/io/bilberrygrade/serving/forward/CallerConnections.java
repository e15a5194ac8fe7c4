package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.controller.DrainController;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Callers' connections. A request counts as running from its head to the last byte of its answer,
 * or until its connection is closed, so that neither a slow upload nor a slow caller is cut.
 */
final class CallerConnections {
    private final DrainController mDrain;
    private final Clocks mClocks;
    private final Map<HttpConnection, CallerConnection> mOpen = new HashMap<>();

    CallerConnections(DrainController drain, Clocks clocks) {
        mDrain = drain;
        mClocks = clocks;
    }

    void onOpened(HttpConnection connection) {
        mOpen.put(connection, new CallerConnection(mClocks.now()));
    }

    void onClosed(HttpConnection connection) {
        CallerConnection closed = mOpen.remove(connection);
        if (closed != null) {
            for (int i = 0; i < closed.mUnwrittenAnswers; i++) {
                mDrain.recordEnd();
            }
        }
    }

    /** Records that the head of a request was read. */
    void onRequest(HttpConnection connection) {
        CallerConnection open = mOpen.get(connection);
        if (open != null) {
            open.mActiveRequests++;
            open.mUnwrittenAnswers++;
            mDrain.recordStart();
        }
    }

    /** Records that the answer to a request has ended; its last bytes may still be queued. */
    void onAnswered(HttpConnection connection) {
        CallerConnection open = mOpen.get(connection);
        if (open != null) {
            open.mActiveRequests--;
            open.mIdleSince = mClocks.now();
        }
    }

    /** Records that the answer to a request was written to its last byte. */
    void onWritten(HttpConnection connection) {
        CallerConnection open = mOpen.get(connection);
        if (open != null) {
            open.mUnwrittenAnswers--;
            open.mIdleSince = mClocks.now();
            mDrain.recordEnd();
        }
    }

    /** Closes the connections on which no request is running. */
    void closeIdle() {
        mOpen.entrySet().stream()
                .filter(e -> e.getValue().mUnwrittenAnswers == 0)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(HttpConnection::close);
    }

    /**
     * Closes connections that have been idle for at least the given time, also those whose callers
     * have read nothing for so long.
     */
    void closeIdleFor(Duration span, Instant now) {
        mOpen.entrySet().stream()
                .filter(e -> e.getValue().mActiveRequests == 0)
                .filter(e -> !e.getValue().mIdleSince.plus(span).isAfter(now))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(HttpConnection::close);
    }

    /** Activity of a caller's connection. */
    private static final class CallerConnection {
        private Instant mIdleSince;
        private int mActiveRequests;
        private int mUnwrittenAnswers;

        CallerConnection(Instant openedAt) {
            mIdleSince = openedAt;
        }
    }
}
