package io.bilberrygrade.serving.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;

/** Reads and writes the headers between callers, daemons and endpoints; makes no decisions. */
public interface ForwardProtocol {
    /** Reads the head of a caller's request; fields that can't be parsed are empty. */
    RequestHead readRequest(HttpServerRequest request);

    /** Returns all headers of an attempt. */
    MultiMap writeRequest(RequestHead head, AttemptRequest attemptRequest);

    /**
     * Returns the headers of a request that is handed over to a peer, which reads them as those of
     * a caller.
     *
     * @param timeLeft time for which the caller still waits
     * @param resumeAfter last event that the caller has; the answer continues after it
     */
    MultiMap writeHandOver(RequestHead head, Duration timeLeft, Optional<Long> resumeAfter);

    /** Reads the head of an endpoint's answer. */
    AnswerHead readAnswer(int status, MultiMap headers);
}
