package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.CrashEntry;
import io.bilberrygrade.serving.peer.CrashReport;
import io.bilberrygrade.serving.peer.StatedAge;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/** Converts between messages about crashed endpoints and the domain types. */
final class CrashCodec {
    private CrashCodec() {}

    /** Encodes a report with the given crashes. */
    static CrashReport report(
            long digest, ImmutableList<CrashRecord> records, List<String> trials, Instant now) {
        SuspectNumbers numbers = SuspectNumbers.of(suspects(records));
        ImmutableList<CrashEntry> entries =
                records.stream()
                        .map(r -> entry(r, numbers, now))
                        .collect(ImmutableList.toImmutableList());
        return new CrashReport(digest, entries, trials, numbers.table());
    }

    private static ImmutableSet<Suspect> suspects(ImmutableList<CrashRecord> records) {
        return records.stream()
                .flatMap(r -> Stream.of(r.begun(), r.waiting(), r.cleared()))
                .flatMap(Collection::stream)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Encodes a record with its age, since the clocks of daemons differ. */
    private static CrashEntry entry(CrashRecord record, SuspectNumbers numbers, Instant now) {
        return new CrashEntry(
                record.run().id().value(),
                record.run().startedAtMillis(),
                Duration.between(record.at(), now).toMillis(),
                numbers.encode(record.begun()),
                numbers.encode(record.waiting()),
                numbers.encode(record.cleared()));
    }

    /** Decodes the crashes of a report; none if what they refer to is malformed. */
    static ImmutableList<CrashRecord> records(CrashReport report, Instant now) {
        return SuspectNumbers.of(report.suspects()).stream()
                .flatMap(n -> report.crashes().stream().map(e -> record(e, n, now)))
                .collect(ImmutableList.toImmutableList());
    }

    private static CrashRecord record(CrashEntry entry, SuspectNumbers numbers, Instant now) {
        return new CrashRecord(
                new EndpointRun(new EndpointId(entry.endpoint()), entry.startedAtMillis()),
                now.minus(StatedAge.ofMillis(entry.ageMillis())),
                numbers.decode(entry.begun()),
                numbers.decode(entry.waiting()),
                numbers.decode(entry.cleared()));
    }
}
