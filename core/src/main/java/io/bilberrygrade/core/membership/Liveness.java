package io.bilberrygrade.core.membership;

/** A daemon's view of a peer. Only a newer incarnation proves that a run has ended. */
public enum Liveness {
    /** No heartbeat of the peer was ever received. */
    UNKNOWN,
    /** A newer heartbeat was received recently. */
    ALIVE,
    /** Heartbeats are overdue; the peer still counts as a member. */
    SUSPECTED,
    /** No newer heartbeat was received for so long that the peer is considered dead. */
    DEAD
}
