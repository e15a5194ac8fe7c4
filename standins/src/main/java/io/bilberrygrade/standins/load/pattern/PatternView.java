package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.contention.StrictStreamTrend;
import io.bilberrygrade.core.room.FleetTraits;
import java.time.Instant;
import java.util.Optional;

/**
 * What a policy knows besides the candidates.
 *
 * @param turn number of placements before this one in the fleet
 * @param draw uniform in [0, 1)
 */
record PatternView(
        long turn,
        FleetTraits traits,
        Optional<StrictStreamTrend> trend,
        Instant now,
        double draw) {}
