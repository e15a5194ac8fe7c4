package io.bilberrygrade.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.serving.wire.CacheEventKind;
import io.bilberrygrade.serving.wire.ReservationRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineSchedulerTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration LONG = Duration.ofHours(1);

    private final EngineScheduler mScheduler =
            new EngineScheduler(EngineSettings.defaults("m"), "test", 1);
    private final List<String> mLog = new ArrayList<>();
    private Instant mNow = START;

    @ParameterizedTest
    @CsvSource({
        "40000, 1, 999, false",
        "40000, 1, 1000, true",
        "4096, 1, 102, false",
        "4096, 1, 103, true",
        "100000, 1, 2499, false",
        "100000, 1, 2500, true"
    })
    void prefillsAtConfiguredRate(long prompt, int tokens, long millis, boolean finished) {
        submit("a", 0, prompt, tokens);
        advance(millis);
        assertThat(mLog.contains("a finished")).isEqualTo(finished);
    }

    @ParameterizedTest
    @CsvSource({"0, short", "5, long"})
    void urgentWorkOvertakesBetweenChunks(int shortPriority, String first) {
        submit("long", 5, 40_000, 1);
        advance(50);
        submit("short", shortPriority, 1_000, 1);
        advance(2_000);
        assertThat(mLog).containsSubsequence(first + " 0");
        assertThat(mLog.getFirst()).isEqualTo(first + " 0");
        assertThat(mLog).contains("long finished", "short finished");
    }

    @Test
    void chunkInProgressDelaysUrgentWork() {
        submit("long", 5, 40_000, 1);
        advance(1);
        submit("short", 0, 400, 1);
        advance(100);
        assertThat(mLog).isEmpty();
        advance(15);
        assertThat(mLog).containsExactly("short 0", "short finished");
    }

    @ParameterizedTest
    @CsvSource({"1, 10", "32, 7"})
    void decodeSlowsDownWithBatchSize(int batch, int tokens) {
        for (int i = 0; i < batch; i++) {
            submit("r" + i, 0, 1, 1_000);
        }
        advance(1);
        mLog.clear();
        advance(210);
        assertThat(mLog).hasSize(batch * tokens);
    }

    @ParameterizedTest
    @CsvSource({
        "399984, 16, true, ''",
        "399985, 16, true, memory",
        "300000, 16, true, ''",
        "300000, 16, false, deadline"
    })
    void refusesRequestsThatCanNeverRun(long prompt, int tokens, boolean inTime, String reason) {
        Instant deadline = inTime ? mNow.plus(LONG) : mNow;
        Optional<String> refusal = submit(spec("a", 0, prompt, tokens, deadline, ""));
        assertThat(refusal.orElse("")).isEqualTo(reason);
    }

    @Test
    void refusesRequestsOverQueueBound() {
        submit("big", 0, 399_000, 1_000);
        for (int i = 0; i < EngineSettings.defaults("m").queueBound(); i++) {
            submit("w" + i, 0, 1_000, 1);
        }
        assertThat(submit(spec("over", 0, 1_000, 1, mNow.plus(LONG), ""))).contains("queue");
    }

    @Test
    void waitsForMemoryAndStaysWithinIt() {
        submit("a", 0, 300_000, 10);
        submit("b", 0, 200_000, 10);
        assertThat(mScheduler.load().runningRequests()).isEqualTo(1);
        assertThat(mScheduler.load().freeTokens()).isEqualTo(400_000 - 300_010);
        advance(20_000);
        assertThat(mLog).containsSubsequence("a finished", "b finished");
        assertThat(mScheduler.load().freeTokens()).isEqualTo(400_000);
    }

    @ParameterizedTest
    @CsvSource({"h1;h2, 24", "h1;x2, 50", "x1;h2, 75"})
    void cachedPrefixSkipsPrefill(String hashes, long millis) {
        submit(withHashes(spec("warm", 0, 3_000, 1, mNow.plus(LONG), ""), "h1;h2"));
        advance(100);
        submit(withHashes(spec("next", 0, 3_000, 1, mNow.plus(LONG), ""), hashes));
        advance(millis - 1);
        assertThat(mLog).doesNotContain("next 0");
        advance(1);
        assertThat(mLog).contains("next 0");
    }

    @Test
    void evictsTheLeastRecentlyUsedBlock() {
        int blocks = (int) (EngineSettings.defaults("m").cacheTokens() / PrefixCache.BLOCK_TOKENS);
        for (int i = 0; i <= blocks; i++) {
            submit(withHashes(spec("r" + i, 0, 1_024, 1, mNow.plus(LONG), ""), "h" + i));
            advance(100);
        }
        assertThat(mScheduler.cacheEvents(mNow, blocks).events())
                .extracting(e -> e.kind() + " " + e.hash())
                .containsExactly(
                        CacheEventKind.STORED + " h" + blocks, CacheEventKind.EVICTED + " h0");
    }

    @ParameterizedTest
    @CsvSource({"0, 1, 2", "100, 0, 0"})
    void losesAndDelaysCacheEvents(int lossPercent, int sequence, int events) {
        mScheduler.setCacheEventFaults(lossPercent, Duration.ofMillis(500));
        submit(withHashes(spec("a", 0, 2_048, 1, mNow.plus(LONG), ""), "h1;h2"));
        advance(100);
        assertThat(mScheduler.cacheEvents(mNow, 0).events()).isEmpty();
        advance(500);
        assertThat(mScheduler.cacheEvents(mNow, 0).events()).hasSize(events);
        assertThat(mScheduler.cacheEvents(mNow, sequence).events())
                .hasSize(Math.max(events - 1, 0));
    }

    @Test
    void reservationLastsUntilRelease() {
        String id = reserve(300_000).orElseThrow();
        assertThat(reserve(100_001)).isEmpty();
        advance(LONG.toMillis());
        assertThat(mScheduler.reservations(mNow))
                .singleElement()
                .satisfies(r -> assertThat(r.remainingMillis()).isNegative());
        mScheduler.release(id);
        mScheduler.release(id);
        assertThat(mScheduler.load().freeTokens()).isEqualTo(400_000);
    }

    @ParameterizedTest
    @CsvSource({"600000, 900000, ''", "600000, 899999, memory", "0, 900000, ''"})
    void importsReduceRequiredReservation(long local, long imported, String reason) {
        String id = reserve(local + 100).orElse("gone");
        JobSpec spec = spec("a", 0, local + 900_000, 100, mNow.plus(LONG), id);
        boolean fits = local <= 300_000;
        Optional<String> refusal = submit(spec.withImport(imported));
        assertThat(refusal.orElse("")).isEqualTo(fits ? reason : "memory");
    }

    @Test
    void segmentKeepsItsMemoryUnderTheReservation() {
        String id = reserve(50_000).orElseThrow();
        submit(spec("a", 9, 40_000, 0, mNow.plus(LONG), id));
        advance(1_000);
        assertThat(mLog).containsExactly("a finished");
        String handle = mScheduler.export(id, 40_000).orElseThrow();
        assertThat(mScheduler.exportedTokens(handle)).contains(40_000L);
        assertThat(submit(spec("b", 9, 10_001, 0, mNow.plus(LONG), id))).contains("memory");
        mScheduler.release(id);
        assertThat(mScheduler.exportedTokens(handle)).isEmpty();
    }

    @Test
    void dropsRequestsAfterDeadline() {
        submit(spec("running", 0, 390_000, 1, mNow.plusMillis(500), ""));
        submit(spec("waiting", 0, 390_000, 1, mNow.plusMillis(500), ""));
        advance(499);
        assertThat(mLog).isEmpty();
        advance(1);
        assertThat(mLog).containsExactly("running failed deadline", "waiting refused deadline");
        assertThat(mScheduler.load().freeTokens()).isEqualTo(400_000);
    }

    @ParameterizedTest
    @CsvSource({"a, 400000", "other, 390000"})
    void cancelFreesMemory(String cancelled, long free) {
        submit("a", 0, 9_999, 1);
        mScheduler.cancel(cancelled, 1);
        assertThat(mScheduler.load().freeTokens()).isEqualTo(free);
    }

    @Test
    void resumesAtItsOffset() {
        JobSpec whole = spec("a", 0, 10, 5, mNow.plus(LONG), "");
        JobSpec rest =
                new JobSpec(
                        "a", 2, 1, 0, 10, 5, 3, whole.deadline(), List.of(), Optional.empty(), 0);
        submit(rest);
        advance(1_000);
        assertThat(mLog).containsExactly("a 3", "a 4", "a finished");
    }

    private Optional<String> reserve(long tokens) {
        return mScheduler.reserve(mNow, new ReservationRequest("g", 1, 1, tokens, 1_000));
    }

    private void advance(long millis) {
        Duration elapsed = Duration.ofMillis(millis);
        mNow = mNow.plus(elapsed);
        mScheduler.advance(mNow, elapsed);
    }

    private void submit(String id, int priority, long prompt, int tokens) {
        assertThat(submit(spec(id, priority, prompt, tokens, mNow.plus(LONG), ""))).isEmpty();
    }

    private Optional<String> submit(JobSpec spec) {
        return mScheduler.submit(mNow, spec, new Recorder(spec.requestId()));
    }

    private static JobSpec spec(
            String id, int priority, long prompt, int tokens, Instant deadline, String reserved) {
        Optional<String> reservation = Optional.of(reserved).filter(r -> !r.isEmpty());
        return new JobSpec(
                id, 1, 1, priority, prompt, tokens, 0, deadline, List.of(), reservation, 0);
    }

    private static JobSpec withHashes(JobSpec spec, String hashes) {
        return new JobSpec(
                spec.requestId(),
                spec.attempt(),
                spec.incarnation(),
                spec.priority(),
                spec.promptTokens(),
                spec.maxTokens(),
                spec.resumeOffset(),
                spec.deadline(),
                List.of(hashes.split(";", -1)),
                spec.reservationId(),
                spec.importedTokens());
    }

    private final class Recorder implements JobListener {
        private final String mId;

        Recorder(String id) {
            mId = id;
        }

        @Override
        public void tokens(int offset, int count) {
            mLog.add(mId + " " + offset);
        }

        @Override
        public void finished() {
            mLog.add(mId + " finished");
        }

        @Override
        public void refused(String reason) {
            mLog.add(mId + " refused " + reason);
        }

        @Override
        public void failed(String reason) {
            mLog.add(mId + " failed " + reason);
        }
    }
}
