package io.bilberrygrade.serving.peer;

/** Content of a frame: a message and, for calls and replies, the number that correlates them. */
record Envelope(int version, long call, EnvelopeKind kind, PeerMessage message) {
    /** Version of the frame format. */
    static final int VERSION = 1;
}
