package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.bilberrygrade.core.forward.EndpointRun;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Crashes of endpoints that the fleet knows of. Daemons exchange their records and merge them; the
 * result doesn't depend on the order in which records arrive, nor on how often.
 */
public final class CrashEvidence {
    /** Maximum number of records kept; a request is suspected after a few crashes. */
    static final int MAX_RECORDS = 12;

    /** Time for which a record is kept. */
    static final Duration LIFETIME = Duration.ofHours(12);

    /**
     * Time between records of the same run within which they are of the same crash. Endpoints that
     * report no start time keep their run when they start again, which takes longer.
     */
    private static final Duration SAME_CRASH = Duration.ofSeconds(2);

    /** Earliest first. */
    private ImmutableList<CrashRecord> mRecords = ImmutableList.of();

    private ImmutableSet<Suspect> mSuspects = ImmutableSet.of();
    private long mDigest;

    /** Returns whether no crash is known. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns the records, earliest first. */
    public ImmutableList<CrashRecord> records() {
        return mRecords;
    }

    /** Returns the crash of a run that is known for about the given time. */
    public Optional<CrashRecord> find(EndpointRun run, Instant at) {
        return mRecords.stream()
                .filter(r -> r.run().equals(run))
                .filter(r -> Duration.between(r.at(), at).abs().compareTo(SAME_CRASH) <= 0)
                .findFirst();
    }

    /** Adds a record or merges it into the known one; returns whether that changed anything. */
    public boolean merge(CrashRecord record) {
        Optional<CrashRecord> known = find(record.run(), record.at());
        CrashRecord merged = known.map(k -> k.merge(record)).orElse(record);
        if (known.filter(merged::equals).isPresent()) {
            return false;
        }
        List<CrashRecord> records = new ArrayList<>(mRecords);
        known.ifPresent(records::remove);
        records.add(merged);
        if (records.size() > MAX_RECORDS) {
            records.remove(leastUseful(records));
        }
        replace(records);
        return records.contains(merged);
    }

    /** Clears what a request that was answered holds; returns whether any of it was suspected. */
    public boolean clear(Set<Suspect> suspects) {
        ImmutableSet<Suspect> harmless = Sets.intersection(mSuspects, suspects).immutableCopy();
        if (harmless.isEmpty()) {
            return false;
        }
        replace(mRecords.stream().map(r -> r.clear(harmless)).toList());
        return true;
    }

    /** Removes records that are too old. */
    public void removeOld(Instant now) {
        if (!mRecords.isEmpty() && mRecords.getFirst().at().plus(LIFETIME).isBefore(now)) {
            replace(mRecords.stream().filter(r -> !r.at().plus(LIFETIME).isBefore(now)).toList());
        }
    }

    /** Returns a digest of the records, equal at all daemons with the same ones; 0 for none. */
    public long digest() {
        return mDigest;
    }

    private static long digest(CrashRecord record) {
        Hasher hasher = Hashing.farmHashFingerprint64().newHasher();
        hasher.putString(record.run().id().value(), StandardCharsets.UTF_8);
        hasher.putLong(record.run().startedAtMillis());
        putSuspects(hasher, record.begun());
        putSuspects(hasher, record.waiting());
        putSuspects(hasher, record.cleared());
        return hasher.hash().asLong();
    }

    private static void putSuspects(Hasher hasher, ImmutableSet<Suspect> suspects) {
        hasher.putInt(suspects.size());
        suspects.stream()
                .sorted()
                .forEach(p -> hasher.putString(p.id(), StandardCharsets.UTF_8).putChar(','));
    }

    /** Returns the oldest record without suspects or, if all have some, the oldest. */
    private static CrashRecord leastUseful(List<CrashRecord> records) {
        return Collections.min(
                records,
                Comparator.comparing((CrashRecord r) -> !r.suspects().isEmpty())
                        .thenComparing(CrashRecord::at)
                        .thenComparing(r -> r.run().id().value()));
    }

    private void replace(List<CrashRecord> records) {
        mRecords =
                records.stream()
                        .sorted(Comparator.comparing(CrashRecord::at))
                        .collect(ImmutableList.toImmutableList());
        mSuspects =
                mRecords.stream()
                        .flatMap(r -> r.suspects().stream())
                        .collect(ImmutableSet.toImmutableSet());
        mDigest = mRecords.stream().mapToLong(CrashEvidence::digest).sum();
    }
}
