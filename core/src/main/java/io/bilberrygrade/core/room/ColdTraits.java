package io.bilberrygrade.core.room;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * What a service states about its endpoints after they start during traffic.
 *
 * @param time time for which an endpoint is cold
 * @param perSecond requests a second that a cold endpoint tolerates
 * @param faults keys of what it states and can't be used
 */
public record ColdTraits(Duration time, double perSecond, ImmutableList<String> faults) {
    /** A service whose endpoints are never cold. */
    public static final ColdTraits NONE = new ColdTraits(Duration.ZERO, 0, ImmutableList.of());

    /** Returns whether endpoints of the service are cold at times. */
    public boolean isStated() {
        return time.isPositive() && perSecond > 0;
    }
}
