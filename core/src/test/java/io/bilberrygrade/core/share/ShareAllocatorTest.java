package io.bilberrygrade.core.share;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class ShareAllocatorTest {
    private static final WorkClass QUICK = workClass("quick", 1, 0.4);
    private static final WorkClass REVIEW = workClass("review", 4, 0.35);
    private static final WorkClass AUDIT = workClass("audit", 30, 0.25);
    private static final ImmutableList<WorkClass> CLASSES = ImmutableList.of(AUDIT, QUICK, REVIEW);

    static Stream<Arguments> demands() {
        return Stream.of(
                // No class exceeds its share: each may also use the unused capacity.
                Arguments.of(100, 30, 20, 20, 60, 50, 50),
                // One class exceeds its share: it borrows the unused capacity of the others.
                Arguments.of(100, 30, 20, 90, 40, 35, 50),
                // The demand of the others returns, and with it the capacity that they lent.
                Arguments.of(100, 40, 35, 90, 40, 35, 25),
                // Two classes exceed their shares: the one with the tighter target borrows first.
                Arguments.of(100, 20, 50, 90, 40, 50, 30),
                // A loss of capacity affects the loosest class first, then the shares of all.
                Arguments.of(80, 30, 20, 40, 32, 28, 30),
                Arguments.of(50, 30, 20, 40, 20, 17.5, 12.5));
    }

    @ParameterizedTest
    @MethodSource("demands")
    void allocates(
            double capacity,
            double quick,
            double review,
            double audit,
            double quickGrant,
            double reviewGrant,
            double auditGrant) {
        ImmutableMap<WorkClassId, Double> grants =
                ShareAllocator.allocate(
                        CLASSES,
                        ImmutableMap.of(QUICK.id(), quick, REVIEW.id(), review, AUDIT.id(), audit),
                        capacity);
        assertThat(grants.get(QUICK.id())).isEqualTo(quickGrant);
        assertThat(grants.get(REVIEW.id())).isEqualTo(reviewGrant);
        assertThat(grants.get(AUDIT.id())).isEqualTo(auditGrant);
    }

    private static WorkClass workClass(String id, int seconds, double share) {
        return new WorkClass(new WorkClassId(id), Duration.ofSeconds(seconds), share);
    }
}
