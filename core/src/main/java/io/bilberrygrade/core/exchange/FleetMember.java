package io.bilberrygrade.core.exchange;

import io.bilberrygrade.core.identity.Address;
import java.util.Comparator;

/**
 * A run of a daemon. The oldest comes first, so that those that were there before keep their part
 * in the fleet when others start or restart.
 *
 * @param address where it takes calls of peers
 * @param startedAtMillis Unix time of its start
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
