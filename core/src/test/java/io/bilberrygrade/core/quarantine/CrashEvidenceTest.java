package io.bilberrygrade.core.quarantine;

import static io.bilberrygrade.core.quarantine.QuarantinePolicyTest.parts;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CrashEvidenceTest {
    private static final Instant START = Instant.EPOCH;

    private final CrashEvidence mEvidence = new CrashEvidence();

    private static CrashRecord record(String run, long millis, String begun, String cleared) {
        return new CrashRecord(
                new EndpointRun(new EndpointId(run), 0),
                START.plusMillis(millis),
                parts(begun),
                ImmutableSet.of(),
                parts(cleared));
    }

    @Test
    void sameCrashSeenByManyDaemonsIsOneRecord() {
        mEvidence.merge(record("e", 0, "a", ""));
        mEvidence.merge(record("e", 400, "b", ""));
        assertThat(mEvidence.records()).hasSize(1);
        assertThat(mEvidence.records().getFirst().suspects()).isEqualTo(parts("a b"));
    }

    @Test
    void laterCrashOfRunWithoutStartTimeIsAnotherRecord() {
        mEvidence.merge(record("e", 0, "a", ""));
        mEvidence.merge(record("e", 3_500, "a", ""));
        assertThat(mEvidence.records()).hasSize(2);
    }

    @Test
    void recordThatArrivesTwiceChangesNothing() {
        CrashRecord record = record("e", 0, "a", "");
        assertThat(mEvidence.merge(record)).isTrue();
        long digest = mEvidence.digest();
        assertThat(mEvidence.merge(record)).isFalse();
        assertThat(mEvidence.digest()).isEqualTo(digest).isNotZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void orderOfArrivalDoesNotMatter(long seed) {
        List<CrashRecord> records =
                new ArrayList<>(
                        ImmutableList.of(
                                record("e", 0, "a b", ""),
                                record("e", 0, "c", ""),
                                record("e", 0, "", "a"),
                                record("f", 900, "a", ""),
                                record("g", 1_800, "b", "b")));
        records.forEach(mEvidence::merge);
        Collections.shuffle(records, new Random(seed));
        CrashEvidence other = new CrashEvidence();
        records.forEach(other::merge);
        assertThat(other.digest()).isEqualTo(mEvidence.digest());
        assertThat(other.records()).containsExactlyElementsOf(mEvidence.records());
    }

    @Test
    void memoryIsBoundedAgainstPromptsWithManyParts() {
        String many = String.join(" ", IntStream.range(0, 5_000).mapToObj(i -> "p" + i).toList());
        for (int i = 0; i < 500; i++) {
            mEvidence.merge(record("e" + i, 1_000L * i, many, ""));
        }
        assertThat(mEvidence.records()).hasSize(CrashEvidence.MAX_RECORDS);
        assertThat(mEvidence.records()).allMatch(r -> r.suspects().size() <= CrashRecord.MAX_PARTS);
    }

    @Test
    void requestsAreKeptBesideManyPartsAndTheirNumberIsBounded() {
        String parts = String.join(" ", IntStream.range(0, 5_000).mapToObj(i -> "p" + i).toList());
        String requests = String.join(" ", IntStream.range(0, 500).mapToObj(i -> ":" + i).toList());
        mEvidence.merge(record("e", 0, parts + " :0", ""));
        assertThat(mEvidence.records().getFirst().begun()).contains(new Suspect(":0"));
        mEvidence.merge(record("e", 0, requests, ""));
        assertThat(mEvidence.records().getFirst().begun())
                .hasSize(CrashRecord.MAX_PARTS + CrashRecord.MAX_REQUESTS);
    }

    // Guards against a part that a bound drops before the others have been cleared.
    @ParameterizedTest
    @ValueSource(ints = {8, 40, 64, 150, 2_000})
    void partBehindManyOthersIsFoundOnceTheseAreCleared(int parts) {
        String sound = String.join(" ", IntStream.range(0, parts).mapToObj(i -> "p" + i).toList());
        mEvidence.merge(record("e", 0, sound + " zz", ""));
        mEvidence.merge(record("f", 900, sound + " zz", ""));
        mEvidence.clear(parts(sound));
        assertThat(mEvidence.records()).allMatch(r -> r.suspects().equals(parts("zz")));
        assertThat(mEvidence.records()).noneMatch(CrashRecord::isCut);
    }

    /** Crashes of other causes, whose parts were answered since, go first. */
    @Test
    void recordsWithSuspectsAreKeptLongest() {
        mEvidence.merge(record("dead", 0, "dead", ""));
        for (int i = 0; i < 500; i++) {
            mEvidence.merge(record("e" + i, 1_000L * i, "sound", ""));
            mEvidence.clear(parts("sound"));
        }
        assertThat(mEvidence.records()).anyMatch(r -> r.suspects().equals(parts("dead")));
    }

    @Test
    void oldRecordsAreRemoved() {
        mEvidence.merge(record("e", 0, "a", ""));
        mEvidence.removeOld(START.plus(CrashEvidence.LIFETIME));
        assertThat(mEvidence.isEmpty()).isFalse();
        mEvidence.removeOld(START.plus(CrashEvidence.LIFETIME).plus(Duration.ofSeconds(1)));
        assertThat(mEvidence.isEmpty()).isTrue();
        assertThat(mEvidence.digest()).isZero();
    }

    @Test
    void answerWithUnknownPartsChangesNothing() {
        mEvidence.merge(record("e", 0, "a", ""));
        assertThat(mEvidence.clear(ImmutableSet.of(new Suspect("z")))).isFalse();
        assertThat(mEvidence.clear(parts("a z"))).isTrue();
        assertThat(mEvidence.clear(parts("a"))).isFalse();
    }
}
