package io.bilberrygrade.serving.peer;

/** Kinds of envelope. */
enum EnvelopeKind {
    HANDSHAKE,
    CALL,
    REPLY
}
