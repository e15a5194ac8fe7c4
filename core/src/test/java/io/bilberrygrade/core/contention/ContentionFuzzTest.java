package io.bilberrygrade.core.contention;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays random requests, loads and returns against admission and the return schedule. */
final class ContentionFuzzTest {
    private static final int STEPS = 100_000;
    private static final int CALLERS = 400;
    private static final Duration PATIENCE = Duration.ofSeconds(1);

    private Instant mNow = Instant.ofEpochSecond(1_000);

    private static Duration millis(UniformRandomProvider random, int max) {
        return Duration.ofMillis(1 + random.nextInt(max));
    }

    private void pass(UniformRandomProvider random) {
        mNow = mNow.plusMillis(random.nextInt(10) == 0 ? random.nextInt(2_000) : random.nextInt(9));
    }

    // Guards against capacity that is promised twice, a low rank that is given an earlier time than
    // a high one would be, and promises that are never dropped.
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void promisesAreDisjointAndInOrder(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ReturnSchedule schedule = new ReturnSchedule();
        List<Stretch> kept = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            pass(random);
            kept.removeIf(s -> !s.end().plus(PATIENCE).isAfter(mNow));
            long caller = random.nextInt(CALLERS);
            boolean due = kept.removeIf(s -> s.caller() == caller && !s.end().isAfter(mNow));
            assertThat(schedule.claim(caller, mNow) == ReturnSchedule.Claim.DUE).isEqualTo(due);
            Rank rank = new Rank(random.nextInt(6));
            Duration earliest = millis(random, 1_000);
            Duration need = millis(random, 200);
            assertThat(schedule.delay(rank, earliest, need, mNow))
                    .isLessThanOrEqualTo(
                            schedule.delay(new Rank(rank.level() + 1), earliest, need, mNow));
            ReturnSchedule.Return at =
                    schedule.refuse(caller, rank, earliest, need, millis(random, 9_000), mNow);
            Stretch stretch = Stretch.endingAt(caller, mNow.plus(at.delay()), need);
            Optional<Stretch> known = kept.stream().filter(s -> s.caller() == caller).findFirst();
            if (known.isPresent()) {
                assertThat(stretch.end()).isEqualTo(known.get().end());
            } else if (at.promised()) {
                assertThat(kept).noneMatch(stretch::overlaps);
                kept.add(stretch);
            }
            assertThat(schedule.size()).isEqualTo(kept.size());
        }
        assertThat(kept).isNotEmpty();
        schedule.claim(-1, mNow.plusSeconds(60));
        assertThat(schedule.size()).isZero();
    }

    // Guards against requests that are counted as in flight for ever or twice, promises that are
    // kept for ever, a refusal without a time and an admitted request of a rank below its own.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void admissionLeaksNothing(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ContentionPolicy policy = new ContentionPolicy();
        List<Rank> running = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < STEPS; i++) {
            pass(random);
            if (!running.isEmpty() && random.nextInt(100) < running.size()) {
                policy.recordEnded(running.remove(random.nextInt(running.size())));
            }
            ServiceRequest request = request(random);
            long caller = random.nextInt(CALLERS);
            switch (policy.decide(request, load(random), () -> caller, random.nextDouble(), mNow)) {
                case AdmissionDecision.Admit a -> {
                    assertThat(a.runAs()).isLessThanOrEqualTo(request.rank());
                    running.add(a.runAs());
                }
                case AdmissionDecision.Refuse r -> {
                    assertThat(r.retryAfter()).isPositive();
                    refused++;
                }
            }
            assertThat(policy.running()).isEqualTo(running.size());
        }
        assertThat(refused).isBetween(STEPS / 20, STEPS * 19 / 20);
        running.forEach(policy::recordEnded);
        assertThat(policy.running()).isZero();
        mNow = mNow.plusSeconds(60);
        policy.decide(request(random), load(random), () -> -1, 0, mNow);
        assertThat(policy.promises()).isLessThanOrEqualTo(1);
    }

    private static ServiceRequest request(UniformRandomProvider random) {
        return new ServiceRequest(
                new Rank(random.nextInt(5)),
                "k" + random.nextInt(3),
                random.nextInt(5) == 0
                        ? Optional.empty()
                        : Optional.of(new TeamId("t" + random.nextInt(6))),
                random.nextInt(10_000),
                random.nextInt(300),
                random.nextInt(2_000),
                millis(random, 1_000),
                millis(random, 9_000));
    }

    private static ServiceLoad load(UniformRandomProvider random) {
        return new ServiceLoad(
                random.nextInt(100),
                random.nextInt(600),
                random.nextInt(200),
                random.nextInt(2) * 1_000_000L,
                random.nextInt(2_000_000),
                millis(random, 2_000),
                1 + random.nextInt(134));
    }

    private record Stretch(long caller, Instant start, Instant end) {
        static Stretch endingAt(long caller, Instant end, Duration need) {
            return new Stretch(caller, end.minus(need), end);
        }

        boolean overlaps(Stretch other) {
            return start.isBefore(other.end) && other.start.isBefore(end);
        }
    }
}
