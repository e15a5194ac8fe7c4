package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/** An attempt in flight. */
interface EndpointCall {
    /** Sends the request; the listener gets the answer, and may get a failure at once. */
    void send(RequestHead head, Buffer body, AttemptRequest attemptRequest);

    /** Sends the request to a peer, with other headers; the listener gets the answer. */
    void send(Address peer, RequestHead head, MultiMap headers, Buffer body);

    /** Closes the connection, so that the endpoint stops; the listener gets no further calls. */
    void cancel();

    /** Stops reading the answer while the caller reads slowly. */
    void pause();

    /** Continues reading the answer. */
    void resume();
}
