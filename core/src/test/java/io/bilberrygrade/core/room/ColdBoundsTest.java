package io.bilberrygrade.core.room;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.ratelimit.DerivedLimits;
import io.bilberrygrade.core.ratelimit.EndpointRateLimits;
import io.bilberrygrade.core.ratelimit.PermitRequest;
import io.bilberrygrade.core.ratelimit.RateLimit;
import io.bilberrygrade.core.ratelimit.RateLimitAllocator;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdBoundsTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointRun RUN = new EndpointRun(new EndpointId("e"), 1);
    private static final PermitRequest ALL = new PermitRequest(1_000, false);

    /** Milliseconds whose grants may arrive within one second: it, a permit's life, connecting. */
    private static final int EXPOSED_MILLIS = 2_400;

    private static EndpointRateLimits limits(double rate) {
        return new EndpointRateLimits(
                new DerivedLimits() {
                    @Override
                    public OptionalDouble grantRate(EndpointRun run) {
                        return OptionalDouble.of(rate);
                    }

                    @Override
                    public ImmutableList<EndpointRun> runs() {
                        return ImmutableList.of(RUN);
                    }
                });
    }

    /**
     * Guards against a rate at which aggregators that saved up permits break the bound: all that
     * was granted as late as possible, then as fast as possible, arrives within one second.
     */
    @ParameterizedTest
    @CsvSource({
        "14, 1.5, 5, 1", "14, 1.5, 5, 4", "14, 1.5, 5, 3", "14, 1, 0, 4", "3, 1.5, 5, 4",
        "1, 1.5, 5, 4", "1, 1.5, 0, 4", "200, 1.2, 10, 4", "200, 1.2, 10, 1", "0.1, 1, 4.5, 4"
    })
    void grantsOfAllAggregatorsStayWithinTheBound(
            double tolerated, double excess, double slack, int aggregators) {
        double rate = new ColdBounds(excess, slack).grantRate(tolerated);
        EndpointRateLimits limits = limits(rate);
        List<RateLimitAllocator> allocators =
                Stream.generate(RateLimitAllocator::new).limit(aggregators).toList();
        List<Integer> grants = new ArrayList<>();
        for (int millis = 0; millis < 20_000; millis++) {
            Instant now = T0.plusMillis(millis);
            int granted = 0;
            for (RateLimitAllocator allocator : allocators) {
                allocator.fill(limits, 1.0 / aggregators, now);
                granted += millis < 10_000 ? 0 : allocator.grant(RUN, ALL, now).permits();
            }
            grants.add(granted);
        }
        int arriving =
                grants.subList(10_000, 10_000 + EXPOSED_MILLIS).stream().mapToInt(g -> g).sum();
        assertThat((double) arriving).isLessThanOrEqualTo(tolerated * excess + slack);
    }

    @Test
    void rateFollowsFromTheBound() {
        assertThat(new ColdBounds(1.5, 5).grantRate(14)).isCloseTo(26 / 2.9, within(1e-9));
        assertThat(new ColdBounds(1.5, 5).grantRate(2)).isCloseTo(4 / 2.4, within(1e-9));
        assertThat(new ColdBounds(1, 100).grantRate(2)).isEqualTo(2);
        assertThat(new ColdBounds(1, 0).grantRate(3)).isZero();
    }

    /** Guards against a cold endpoint that gets more than the limit that it states itself. */
    @ParameterizedTest
    @CsvSource({"100, 9", "2, 1.9", "0, 0.1"})
    void lowerOfStatedAndDerivedLimitCounts(double stated, double granted) {
        EndpointRateLimits limits = limits(9);
        assertThat(limits.grantRate(RUN)).hasValue(9);
        limits.recordLimit(RUN, new RateLimit(stated), T0);
        assertThat(limits.grantRate(RUN).orElseThrow()).isCloseTo(granted, within(1e-9));
        assertThat(limits.limitedRuns()).containsExactly(RUN);
    }
}
