package io.bilberrygrade.core.membership;

/** What a daemon believes of a peer. Only a newer incarnation proves that a run has ended. */
public enum Liveness {
    /** No heartbeat of the peer was ever heard. */
    UNKNOWN,
    /** A newer heartbeat was heard a short while ago. */
    ALIVE,
    /** Heartbeats are overdue; the peer still counts as a member. */
    SUSPECTED,
    /** No newer heartbeat was heard for so long that the peer is taken for gone. */
    DEAD
}
