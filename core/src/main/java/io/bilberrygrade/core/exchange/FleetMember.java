package io.bilberrygrade.core.exchange;

import io.bilberrygrade.core.identity.Address;
import java.util.Comparator;

/**
 * Incarnation of a daemon. Members are ordered by age, oldest first, so that existing members keep
 * their role in the fleet when others start or restart.
 *
 * @param address address at which it accepts calls of peers
 * @param startedAtMillis Unix time of its start in milliseconds
 */
public record FleetMember(Address address, long startedAtMillis)
        implements Comparable<FleetMember> {
    private static final Comparator<FleetMember> OLDEST_FIRST =
            Comparator.comparingLong(FleetMember::startedAtMillis)
                    .thenComparing(m -> m.address().host())
                    .thenComparing(m -> m.address().port());

    @Override
    public int compareTo(FleetMember other) {
        return OLDEST_FIRST.compare(this, other);
    }
}
