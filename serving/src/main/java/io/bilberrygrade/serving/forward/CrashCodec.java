package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.CrashEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;

/** Converts between messages about crashed endpoints and the domain types. */
final class CrashCodec {
    private CrashCodec() {}

    /** Encodes records with their age, since the clocks of daemons differ. */
    static ImmutableList<CrashEntry> entries(Collection<CrashRecord> records, Instant now) {
        return records.stream()
                .map(
                        r ->
                                new CrashEntry(
                                        r.run().id().value(),
                                        r.run().startedAtMillis(),
                                        Duration.between(r.at(), now).toMillis(),
                                        ids(r.begun()),
                                        ids(r.waiting()),
                                        ids(r.cleared())))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<CrashRecord> records(List<CrashEntry> entries, Instant now) {
        return entries.stream()
                .map(
                        e ->
                                new CrashRecord(
                                        new EndpointRun(
                                                new EndpointId(e.endpoint()), e.startedAtMillis()),
                                        now.minusMillis(Math.max(0, e.ageMillis())),
                                        suspects(e.begun()),
                                        suspects(e.waiting()),
                                        suspects(e.cleared())))
                .collect(ImmutableList.toImmutableList());
    }

    static ImmutableList<String> ids(Collection<Suspect> suspects) {
        return suspects.stream().map(Suspect::id).collect(ImmutableList.toImmutableList());
    }

    static ImmutableSet<Suspect> suspects(List<String> ids) {
        return ids == null
                ? ImmutableSet.of()
                : ids.stream().map(Suspect::new).collect(ImmutableSet.toImmutableSet());
    }
}
