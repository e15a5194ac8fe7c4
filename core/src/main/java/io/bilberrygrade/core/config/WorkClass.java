package io.bilberrygrade.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;

/**
 * Class of work as operators state it: how soon the first token must arrive and what share of the
 * fleet, from 0 to 1, the class may claim. Everything else is derived by the system.
 */
public record WorkClass(WorkClassId id, Duration timeToFirstToken, double share) {
    /** Creates the class; refuses a target that isn't positive and a share outside 0 to 1. */
    public WorkClass {
        checkArgument(timeToFirstToken.isPositive(), "time to first token must be positive");
        checkArgument(share >= 0 && share <= 1, "share %s is outside 0 to 1", share);
    }
}
