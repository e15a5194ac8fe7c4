package io.bilberrygrade.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class QuarantinePolicyTest {
    private static final Instant START = Instant.EPOCH;

    /** Time that few daemons wait for answers that clear sound parts. */
    private static final long CLEARING_MILLIS = 1_200;

    private final CrashEvidence mEvidence = new CrashEvidence();
    private int mCrashes;

    static ImmutableSet<Suspect> parts(String text) {
        return Splitter.on(' ')
                .omitEmptyStrings()
                .splitToStream(text)
                .map(Suspect::new)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void crash(long millis, String begun, String waiting) {
        mEvidence.merge(
                new CrashRecord(
                        new EndpointRun(new EndpointId("e" + mCrashes++), 1),
                        START.plusMillis(millis),
                        parts(begun),
                        parts(waiting),
                        ImmutableSet.of()));
    }

    private Optional<Quarantine> of(String request) {
        return of(request, Instant.MAX);
    }

    private Optional<Quarantine> of(String request, Instant completeUntil) {
        return QuarantinePolicy.of(
                parts(request), mEvidence.records(), new Reports(completeUntil, true));
    }

    /** Decides while most daemons are out of reach. */
    private Optional<Quarantine> ofFew(String request) {
        return ofFew(request, Instant.MAX);
    }

    private Optional<Quarantine> ofFew(String request, Instant completeUntil) {
        return QuarantinePolicy.of(
                parts(request), mEvidence.records(), new Reports(completeUntil, false));
    }

    // Guards against a request that is sent for ever by the daemons that are left of a fleet.
    @Test
    void requestThatOnlyWaitedIsQuarantinedByFewDaemonsToo() {
        crash(0, "", ":dead");
        crash(300, "", ":dead");
        assertThat(ofFew(":dead")).isEmpty();
        crash(600, "", ":dead");
        assertThat(ofFew(":dead")).isPresent();
    }

    // Guards against a part that is blamed as early as if all daemons had reported.
    @Test
    void partThatOnlyWaitedIsQuarantinedByFewDaemonsAfterTwiceTheCrashes() {
        for (int i = 0; i < 5; i++) {
            crash(300L * i, "", "dead");
        }
        assertThat(of("dead")).isPresent();
        assertThat(ofFew("dead")).isEmpty();
        crash(1_500, "", "dead");
        assertThat(ofFew("dead")).isPresent();
    }

    @Test
    void partThatBeganIsQuarantinedByFewDaemonsAfterTwoCrashes() {
        crash(0, "dead", "");
        assertThat(ofFew("dead")).isEmpty();
        crash(300, "dead", "");
        assertThat(ofFew("dead")).isPresent();
    }

    @Test
    void fewDaemonsAwaitAnswersThatClearParts() {
        for (int i = 0; i < 6; i++) {
            crash(300L * i, "", "sound");
        }
        assertThat(ofFew("sound", START.plusMillis(1_500 + CLEARING_MILLIS - 1))).isEmpty();
        assertThat(ofFew("sound", START.plusMillis(1_500 + CLEARING_MILLIS))).isPresent();
    }

    @Test
    void fewDaemonsAwaitEachOthersReportsOfRequests() {
        for (int i = 0; i < 3; i++) {
            crash(300L * i, "", ":sound");
        }
        assertThat(ofFew(":sound", START.plusMillis(599))).isEmpty();
        assertThat(ofFew(":sound", START.plusMillis(600))).isPresent();
    }

    @Test
    void reportsOfOtherDaemonsAreAwaitedBeforeWaitingRequestsAreSuspected() {
        for (int i = 0; i < 3; i++) {
            crash(300L * i, "", "sound");
        }
        assertThat(of("sound", START.plusMillis(599))).isEmpty();
        assertThat(of("sound", START.plusMillis(600))).isPresent();
    }

    @Test
    void partThatBeganAtTwoCrashesIsQuarantined() {
        crash(0, "dead", "");
        assertThat(of("dead")).isEmpty();
        crash(300, "dead", "");
        assertThat(of("dead")).isPresent();
        assertThat(of("other dead")).isPresent();
        assertThat(of("other")).isEmpty();
    }

    @Test
    void partThatOnlyWaitedIsQuarantinedAfterThreeCrashes() {
        crash(0, "", "dead");
        crash(300, "", "dead");
        assertThat(of("dead")).isEmpty();
        crash(600, "", "dead");
        assertThat(of("dead")).isPresent();
    }

    @Test
    void requestsThatOnlyWaitedAreNotSuspectedWhileOneHadBegun() {
        for (int i = 0; i < 5; i++) {
            crash(300L * i, "dead", "sound");
        }
        assertThat(of("sound")).isEmpty();
    }

    @Test
    void crashesOfRackAtTheSameTimeAreOnePieceOfEvidence() {
        for (int i = 0; i < 8; i++) {
            crash(5L * i, "popular", "common");
        }
        assertThat(of("popular")).isEmpty();
        assertThat(of("common")).isEmpty();
    }

    /** Whichever of the two is the cause, only requests with both are known to crash endpoints. */
    @Test
    void partsThatAlwaysCameTogetherAreQuarantinedTogether() {
        crash(0, "first dead", "");
        crash(300, "first dead", "");
        assertThat(of("first dead")).isPresent();
        assertThat(of("first")).isEmpty();
        assertThat(of("dead")).isEmpty();
    }

    @Test
    void crashWithoutOneOfThemTellsWhichPartItIs() {
        crash(0, "first dead", "");
        crash(300, "first dead", "");
        crash(600, "second dead", "");
        assertThat(of("second dead")).isPresent();
        assertThat(of("dead")).isPresent();
        assertThat(of("first")).isEmpty();
        assertThat(of("second")).isEmpty();
    }

    @Test
    void answerWithSharedPartLeavesOnlyTheOther() {
        crash(0, "first dead", "");
        crash(300, "first dead", "");
        mEvidence.clear(parts("first"));
        assertThat(of("dead")).isPresent();
        assertThat(of("first")).isEmpty();
    }

    @Test
    void answerEndsTheQuarantine() {
        crash(0, "dead", "");
        crash(300, "dead", "");
        mEvidence.clear(parts("dead"));
        assertThat(of("dead")).isEmpty();
    }

    @Test
    void partThatWasAnsweredIsSuspectedByLaterCrashesOnly() {
        crash(0, "dead", "");
        mEvidence.clear(parts("dead"));
        crash(300, "dead", "");
        assertThat(of("dead")).isEmpty();
        crash(600, "dead", "");
        assertThat(of("dead")).isPresent();
    }

    @Test
    void twoFatalPartsAreToldApart() {
        crash(0, "often", "");
        crash(200, "rare", "");
        crash(400, "often", "");
        crash(9_000, "rare", "");
        assertThat(of("often")).isPresent();
        assertThat(of("rare")).isPresent();
        assertThat(of("sound")).isEmpty();
    }

    /** Trials are at least as far apart as three in half an hour and five in a day allow. */
    @ParameterizedTest
    @CsvSource({"0, 5", "1, 20", "2, 80", "3, 320", "4, 360", "9, 360"})
    void timeUntilTheNextTrialGrows(int failedTrials, long minutes) {
        crash(0, "dead", "");
        crash(300, "dead", "");
        long last = 300;
        for (int i = 0; i < failedTrials; i++) {
            last += Duration.ofMinutes(10).toMillis();
            crash(last, "dead", "");
        }
        assertThat(of("dead").orElseThrow().trialAt())
                .isEqualTo(START.plusMillis(last).plus(Duration.ofMinutes(minutes)));
    }

    @Test
    void crashesByOneRequestBlameNoneOfItsParts() {
        crash(0, "intro rare :1", "");
        crash(300, "intro rare :1", "");
        assertThat(of("intro rare :1")).isPresent();
        assertThat(of("intro rare :2")).isEmpty();
    }

    @Test
    void crashesByDifferentRequestsBlameTheirCommonPart() {
        crash(0, "intro rare :1", "");
        crash(300, "rare :2", "");
        assertThat(of("other rare :3").map(Quarantine::suspects)).contains(parts("rare"));
        assertThat(of("intro :4")).isEmpty();
    }

    @Test
    void answersToOtherRequestsDoNotClearTheRequest() {
        crash(0, "intro rare :1", "");
        crash(300, "intro rare :1", "");
        mEvidence.clear(parts("intro rare :2"));
        assertThat(of("intro rare :1").map(Quarantine::suspects)).contains(parts(":1"));
        mEvidence.clear(parts("intro rare :1"));
        assertThat(of("intro rare :1")).isEmpty();
    }

    /** An endpoint that crashes before any head had other requests that wait as well. */
    @Test
    void requestThatWaitedAtThreeCrashesIsToldFromOthersThatWaitedThere() {
        crash(0, "", ":1 :2 :3");
        crash(300, "", ":1 :4");
        assertThat(of(":1")).isEmpty();
        crash(600, "", ":1 :2");
        assertThat(of(":1")).isPresent();
        assertThat(of(":2")).isEmpty();
    }
}
