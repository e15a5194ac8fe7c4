package io.bilberrygrade.serving.peer;

/** One frame: a message and, for calls and replies, the number that joins the two. */
record Envelope(int version, long call, EnvelopeKind kind, PeerMessage message) {
    /** Version of the frame format. */
    static final int VERSION = 1;
}
