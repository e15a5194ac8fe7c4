package io.bilberrygrade.serving.forward;

/** An attempt in flight. */
interface EndpointCall {
    /** Closes the connection, so that the endpoint stops; the listener gets no further calls. */
    void cancel();

    /** Stops reading the answer while the caller reads slowly. */
    void pause();

    /** Continues reading the answer. */
    void resume();
}
