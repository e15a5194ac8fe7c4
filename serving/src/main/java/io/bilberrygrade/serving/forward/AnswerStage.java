package io.bilberrygrade.serving.forward;

/** How far an endpoint's answer to an attempt has come. */
enum AnswerStage {
    /** The connection isn't established. */
    CONNECTING,

    /** The request was sent; it may be queued, read or run. */
    SENT,

    /** The head of the answer has arrived, but no part of its content. */
    HEAD,

    /** Part of the answer's content has arrived. */
    WRITING
}
