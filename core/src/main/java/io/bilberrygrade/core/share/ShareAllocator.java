package io.bilberrygrade.core.share;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.WorkClassId;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Divides the fleet's capacity among the classes of work. Each class is first granted its demand up
 * to its configured share. The unused capacity is lent to the classes with the tightest targets
 * first, so that a loss of capacity affects the class with the loosest target first.
 */
public final class ShareAllocator {
    private ShareAllocator() {}

    /**
     * Returns the tokens per second that each class may use. A class with a low demand is not
     * limited to it: unused capacity is added to its grant.
     *
     * @param demand tokens per second that each class requests
     * @param capacity tokens per second of the whole fleet
     */
    public static ImmutableMap<WorkClassId, Double> allocate(
            ImmutableCollection<WorkClass> classes,
            ImmutableMap<WorkClassId, Double> demand,
            double capacity) {
        double claimed = classes.stream().mapToDouble(WorkClass::share).sum();
        double scale = capacity / Math.max(1, claimed);
        Map<WorkClassId, Double> used = new LinkedHashMap<>();
        classes.forEach(c -> used.put(c.id(), Math.min(demand(demand, c), c.share() * scale)));
        double unused = capacity - used.values().stream().mapToDouble(Double::doubleValue).sum();
        for (WorkClass c : byTightness(classes)) {
            double lent = Math.min(unused, demand(demand, c) - used.get(c.id()));
            used.merge(c.id(), lent, Double::sum);
            unused -= lent;
        }
        return grants(classes, used, scale, unused);
    }

    private static ImmutableMap<WorkClassId, Double> grants(
            ImmutableCollection<WorkClass> classes,
            Map<WorkClassId, Double> used,
            double scale,
            double unused) {
        ImmutableMap.Builder<WorkClassId, Double> grants = ImmutableMap.builder();
        for (WorkClass c : classes) {
            grants.put(c.id(), Math.max(c.share() * scale, used.get(c.id()) + unused));
        }
        return grants.buildOrThrow();
    }

    private static ImmutableList<WorkClass> byTightness(ImmutableCollection<WorkClass> classes) {
        return ImmutableList.sortedCopyOf(
                Comparator.comparing(WorkClass::timeToFirstToken), classes);
    }

    private static double demand(ImmutableMap<WorkClassId, Double> demand, WorkClass workClass) {
        return demand.getOrDefault(workClass.id(), 0.0);
    }
}
