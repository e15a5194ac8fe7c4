package io.bilberrygrade.standins.load.pattern;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against learned costs that answer requests to plain services later than the policy without
 * them, on the same arrivals.
 */
final class ServiceTest {
    private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L);

    static Stream<ServiceProfile> differingCosts() {
        return Stream.of(
                ServiceProfile.mixed(36, 4),
                ServiceProfile.slow(36, 4),
                ServiceProfile.jump(36, 4),
                ServiceProfile.mixed(134, 7),
                ServiceProfile.slow(134, 7),
                ServiceProfile.jump(134, 7));
    }

    @ParameterizedTest
    @MethodSource("differingCosts")
    void learnedCostsLeaveLessRegretThanCounts(ServiceProfile profile) {
        ServiceResult known = simulate(ServicePolicy.KNOWN_COST, profile);
        double learned = simulate(ServicePolicy.LEARNED, profile).regret(known);
        assertThat(learned)
                .isLessThan(simulate(ServicePolicy.FEWEST_CALLS, profile).regret(known))
                .isLessThan(simulate(ServicePolicy.FEWEST_OF_TWO, profile).regret(known));
    }

    private static ServiceResult simulate(ServicePolicy policy, ServiceProfile profile) {
        return ServiceResult.simulate(policy, profile, SEEDS);
    }

    @Test
    void learnedCostsDoNoHarmToRequestsThatCostAlike() {
        for (ServiceProfile profile :
                ImmutableList.of(ServiceProfile.uniform(36, 4), ServiceProfile.uniform(134, 7))) {
            assertThat(simulate(ServicePolicy.LEARNED, profile).meanMillis())
                    .isLessThan(simulate(ServicePolicy.FEWEST_CALLS, profile).meanMillis());
        }
    }

    @Test
    void sameSeedGivesTheSameResult() {
        ServiceProfile profile = ServiceProfile.mixed(36, 4);
        assertThat(simulate(ServicePolicy.LEARNED, profile).meanMillis())
                .isEqualTo(simulate(ServicePolicy.LEARNED, profile).meanMillis());
    }
}
