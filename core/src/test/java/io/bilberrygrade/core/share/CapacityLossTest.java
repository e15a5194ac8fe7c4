package io.bilberrygrade.core.share;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the limits of the classes while capacity drops and recovers and demand fluctuates. */
final class CapacityLossTest {
    private static final WorkClass QUICK = workClass("quick", 1, 0.4);
    private static final WorkClass REVIEW = workClass("review", 4, 0.35);
    private static final WorkClass AUDIT = workClass("audit", 30, 0.25);
    private static final ImmutableList<WorkClass> CLASSES = ImmutableList.of(QUICK, REVIEW, AUDIT);
    private static final ImmutableMap<WorkClassId, Double> DEMAND =
            ImmutableMap.of(QUICK.id(), 0.2, REVIEW.id(), 0.25, AUDIT.id(), 0.45);
    private static final int TICKS = 200;
    private static final double JITTER = 0.03;

    private final Map<WorkClassId, ShareLimit> mLimits = new HashMap<>();
    private final List<WorkClassId> mChanges = new ArrayList<>();
    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(5);

    @ParameterizedTest
    @CsvSource({"1.0, 0, 0, 0", "0.69, 0, 0, 1", "0.56, 0, 1, 1", "0.4, 1, 1, 1"})
    void limitsLooserClassesFirst(
            double capacity, int quickLimited, int reviewLimited, int auditLimited) {
        run(1.0);
        run(capacity);
        assertThat(changes(QUICK)).isEqualTo(quickLimited);
        assertThat(changes(REVIEW)).isEqualTo(reviewLimited);
        assertThat(changes(AUDIT)).isEqualTo(auditLimited);
    }

    @Test
    void liftsLimitsWhenCapacityRecovers() {
        run(0.69);
        run(1.1);
        assertThat(changes(AUDIT)).isEqualTo(2);
        assertThat(mLimits.get(AUDIT.id()).limited()).isFalse();
    }

    private void run(double capacity) {
        for (int i = 0; i < TICKS; i++) {
            ImmutableMap<WorkClassId, Double> demand = fluctuatingDemand();
            ShareAllocator.allocate(CLASSES, demand, capacity)
                    .forEach((id, grant) -> step(id, demand.get(id), grant));
        }
    }

    private ImmutableMap<WorkClassId, Double> fluctuatingDemand() {
        ImmutableMap.Builder<WorkClassId, Double> demand = ImmutableMap.builder();
        DEMAND.forEach(
                (id, d) -> demand.put(id, d * (1 - JITTER + 2 * JITTER * mRandom.nextDouble())));
        return demand.buildOrThrow();
    }

    private void step(WorkClassId id, double demand, double grant) {
        ShareLimit before = mLimits.getOrDefault(id, ShareLimit.NONE);
        ShareLimit after = before.next(demand, grant);
        if (before.limited() != after.limited()) {
            mChanges.add(id);
        }
        mLimits.put(id, after);
    }

    private int changes(WorkClass workClass) {
        return (int) mChanges.stream().filter(workClass.id()::equals).count();
    }

    private static WorkClass workClass(String id, int seconds, double share) {
        return new WorkClass(new WorkClassId(id), Duration.ofSeconds(seconds), share);
    }
}
