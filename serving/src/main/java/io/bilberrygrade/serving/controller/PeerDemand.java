package io.bilberrygrade.serving.controller;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.serving.peer.ClassUse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Demand of each class at the other daemons, as gossiped. Entries expire after their lifetime. */
final class PeerDemand {
    private static final Duration LIFETIME = Duration.ofSeconds(8);
    private static final int MAX_ENTRIES = 1_024;

    private record Key(String instance, String workClass) {}

    private record Entry(ClassUse use, Instant measuredAt) {}

    private final Map<Key, Entry> mEntries = new HashMap<>();

    void merge(ClassUse use, Instant now) {
        Key key = new Key(use.instance(), use.workClass());
        Entry entry = new Entry(use, now.minusMillis(Math.max(0, use.ageMillis())));
        if (mEntries.size() >= MAX_ENTRIES) {
            mEntries.values().removeIf(e -> isExpired(e, now));
        }
        Entry known = mEntries.get(key);
        boolean isFull = known == null && mEntries.size() >= MAX_ENTRIES;
        if (!isFull && !isExpired(entry, now) && (known == null || isNewer(entry, known))) {
            mEntries.put(key, entry);
        }
    }

    double tokensPerSecond(WorkClassId workClass, Instant now) {
        return mEntries.values().stream()
                .filter(e -> e.use().workClass().equals(workClass.value()))
                .filter(e -> !isExpired(e, now))
                .mapToDouble(e -> e.use().tokensPerSecond())
                .sum();
    }

    /** Returns the entries that haven't expired, with their current age. */
    ImmutableList<ClassUse> uses(Instant now) {
        return mEntries.values().stream()
                .filter(e -> !isExpired(e, now))
                .map(e -> withCurrentAge(e, now))
                .collect(ImmutableList.toImmutableList());
    }

    private static ClassUse withCurrentAge(Entry entry, Instant now) {
        ClassUse use = entry.use();
        return new ClassUse(
                use.instance(),
                use.incarnation(),
                use.workClass(),
                use.tokensPerSecond(),
                use.queuedTokens(),
                Math.max(0, Duration.between(entry.measuredAt(), now).toMillis()));
    }

    private static boolean isNewer(Entry entry, Entry known) {
        if (entry.use().incarnation() != known.use().incarnation()) {
            return entry.use().incarnation() > known.use().incarnation();
        }
        return entry.measuredAt().isAfter(known.measuredAt());
    }

    private static boolean isExpired(Entry entry, Instant now) {
        return entry.measuredAt().plus(LIFETIME).isBefore(now);
    }
}
