package io.bilberrygrade.serving.forward;

import io.bilberrygrade.serving.error.Delivery;
import io.vertx.core.buffer.Buffer;

/**
 * Receives the progress of an attempt; the last call is {@code onEnd}, {@code onClosed} or {@code
 * onFailed}.
 */
interface EndpointListener {
    /** The connection is established; from now on the endpoint may run the request. */
    void onConnected();

    /** The head of the answer has arrived. */
    void onHead(AnswerHead head);

    /** A part of the answer's body has arrived. */
    void onData(Buffer part);

    /** The answer is complete. */
    void onEnd();

    /**
     * The endpoint closed the connection before the answer was complete; it may have run the
     * request.
     */
    void onClosed(String detail);

    /**
     * The attempt failed; {@code delivery} states whether the endpoint may have run the request.
     */
    void onFailed(Delivery delivery, String detail);
}
