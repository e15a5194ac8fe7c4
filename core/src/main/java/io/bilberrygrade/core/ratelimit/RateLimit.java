package io.bilberrygrade.core.ratelimit;

import com.google.common.primitives.Doubles;
import java.util.Optional;

/**
 * Request rate that an endpoint accepts from all daemons together.
 *
 * @param perSecond requests a second, at least 0
 */
public record RateLimit(double perSecond) {
    /** Parses a decimal number of requests a second; empty if the text isn't a valid rate. */
    public static Optional<RateLimit> parse(String text) {
        return Optional.ofNullable(Doubles.tryParse(text.strip()))
                .filter(rate -> Double.isFinite(rate) && rate >= 0)
                .map(RateLimit::new);
    }
}
