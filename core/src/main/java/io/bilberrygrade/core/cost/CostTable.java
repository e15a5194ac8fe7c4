package io.bilberrygrade.core.cost;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates by key. If there are too many keys, the least used one is evicted, so that a flood of
 * keys that occur once evicts only each other.
 */
final class CostTable {
    /** Maximum number of keys; a hundred routes with all bands of length fit. */
    static final int MAX_KEYS = 512;

    private final Map<CostKey, CostEstimate> mEstimates = new HashMap<>();

    void add(CostKey key, double value, Instant now) {
        if (!(value > 0) || Double.isInfinite(value)) {
            return;
        }
        if (!mEstimates.containsKey(key) && mEstimates.size() >= MAX_KEYS) {
            evictLeastUsed(now);
        }
        mEstimates.computeIfAbsent(key, k -> new CostEstimate()).add(value, now);
    }

    private void evictLeastUsed(Instant now) {
        mEstimates.entrySet().stream()
                .min(Comparator.comparingDouble(e -> e.getValue().use(now)))
                .map(Map.Entry::getKey)
                .ifPresent(mEstimates::remove);
    }

    Optional<CostDistribution> find(CostKey key, Instant now) {
        return Optional.ofNullable(mEstimates.get(key)).flatMap(e -> e.distribution(now));
    }

    int size() {
        return mEstimates.size();
    }
}
