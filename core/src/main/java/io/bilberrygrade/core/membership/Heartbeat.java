package io.bilberrygrade.core.membership;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;

/**
 * Heartbeat of one run of an instance; {@code counter} grows by one each round while the run lasts.
 */
public record Heartbeat(InstanceId instance, Incarnation incarnation, long counter) {
    /** Returns whether this heartbeat is of a later run or of a later round of the same run. */
    public boolean supersedes(Heartbeat other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || (order == 0 && counter > other.counter);
    }
}
