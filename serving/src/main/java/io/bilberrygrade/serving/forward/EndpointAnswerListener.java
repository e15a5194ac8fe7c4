package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.RegisteredEndpoint;

/** Receives the heads of endpoints' answers to calls of this daemon itself. */
@FunctionalInterface
public interface EndpointAnswerListener {
    /** An endpoint has answered; what it states about itself holds as in other answers. */
    void onAnswer(RegisteredEndpoint endpoint, AnswerHead head);
}
