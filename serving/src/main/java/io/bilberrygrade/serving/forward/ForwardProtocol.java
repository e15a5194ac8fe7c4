package io.bilberrygrade.serving.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

/** Reads and writes the headers between callers, daemons and endpoints; makes no decisions. */
public interface ForwardProtocol {
    /** Reads the head of a caller's request; fields that can't be parsed are empty. */
    RequestHead readRequest(HttpServerRequest request);

    /** Returns all headers of an attempt. */
    MultiMap writeRequest(RequestHead head, AttemptRequest attemptRequest);

    /** Reads the head of an endpoint's answer. */
    AnswerHead readAnswer(int status, MultiMap headers);
}
