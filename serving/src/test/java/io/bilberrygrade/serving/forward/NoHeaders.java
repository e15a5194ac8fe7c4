package io.bilberrygrade.serving.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;

/** Protocol without headers. */
final class NoHeaders implements ForwardProtocol {
    @Override
    public RequestHead readRequest(HttpServerRequest request) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MultiMap writeRequest(RequestHead head, AttemptRequest attemptRequest) {
        return MultiMap.caseInsensitiveMultiMap();
    }

    @Override
    public MultiMap writeHandOver(RequestHead head, Duration timeLeft, Optional<Long> resumeAfter) {
        throw new UnsupportedOperationException();
    }

    @Override
    public AnswerHead readAnswer(int status, MultiMap headers) {
        throw new UnsupportedOperationException();
    }
}
