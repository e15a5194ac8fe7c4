package io.bilberrygrade.serving.peer;

/** Kinds of frame. */
enum EnvelopeKind {
    HANDSHAKE,
    CALL,
    REPLY
}
