package io.bilberrygrade.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;

/**
 * Class of work as configured by operators: the target for the time to first token and the share of
 * the fleet, from 0 to 1, that the class may claim. All other properties are derived.
 */
public record WorkClass(WorkClassId id, Duration timeToFirstToken, double share) {
    /** Creates the class; rejects a target that isn't positive and a share outside 0 to 1. */
    public WorkClass {
        checkArgument(timeToFirstToken.isPositive(), "time to first token must be positive");
        checkArgument(share >= 0 && share <= 1, "share %s is outside 0 to 1", share);
    }
}
