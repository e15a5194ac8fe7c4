package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.room.Capacity;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Age of the sums and control traffic of fleets under 75 short and 1.2 long requests a second at 45
 * engines.
 */
final class ExchangeIntervalFleetTest {
    private static final Capacity SMALL = new Capacity(250, 14);
    private static final Capacity LARGE = new Capacity(1_000, 1_000);
    private static final int ENGINES = 45;
    private static final Duration STEP = Duration.ofMillis(25);
    private static final double SHORT_PER_STEP = 75 * 0.025;
    private static final double LONG_PER_STEP = 1.2 * 0.025;
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration MEASURED = Duration.ofSeconds(10);

    /** Longest delay of the simulated network there and back. */
    private static final long ROUND_TRIP_MILLIS = 80;

    /** Limit of a daemon's control traffic at 410 daemons. */
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 2_048;

    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(5);
    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(5);
    private final List<Long> mAges = new ArrayList<>();

    private void fleet(int members) {
        mFleet.mCapacity = n -> Optional.of(n == members - 1 ? LARGE : SMALL);
        mFleet.add(members);
        load(WARM_UP);
        mAges.clear();
    }

    private void load(Duration span) {
        for (long i = 0; i < span.dividedBy(STEP); i++) {
            sendSome(SHORT_PER_STEP, 120, 2_000, 900);
            sendSome(LONG_PER_STEP, 3_000, 6_000, 220_000);
            mFleet.mTime.advance(STEP);
            mFleet.mMembers.forEach(this::recordAge);
        }
    }

    private void sendSome(double mean, long readMillis, long totalMillis, long tokens) {
        for (double left = mean; left > 0; left--) {
            if (mRandom.nextDouble() < left) {
                send(readMillis, totalMillis, tokens);
            }
        }
    }

    private void send(long readMillis, long totalMillis, long tokens) {
        Member member = mFleet.mMembers.get(mRandom.nextInt(mFleet.mMembers.size()));
        EndpointId engine = new EndpointId("engine-" + mRandom.nextInt(ENGINES));
        EndpointWork reading = new EndpointWork(1, readMillis, 0, 1, tokens);
        EndpointWork writing = new EndpointWork(1, 0, 1, 1, tokens);
        member.mLedger.add(engine, reading);
        member.mProcess.schedule(
                Duration.ofMillis(readMillis),
                () -> member.mLedger.add(engine, writing.plus(reading.negated())));
        member.mProcess.schedule(
                Duration.ofMillis(totalMillis),
                () -> member.mLedger.add(engine, writing.negated()));
    }

    private void recordAge(Member member) {
        mAges.add(
                member.mLedger
                        .receivedSums()
                        .age(mFleet.now())
                        .map(Duration::toMillis)
                        .orElse(Long.MAX_VALUE));
    }

    // Guards against sums that stay as old as with an aggregator that has a quarter of a core.
    @ParameterizedTest
    @CsvSource({"134, 134", "300, 300", "410, 1230"})
    void sumsAreAtMostTwoIntervalsOld(int members, long intervalMillis) {
        fleet(members);
        load(MEASURED);
        assertThat(mAges)
                .allMatch(a -> a <= 2 * intervalMillis + ROUND_TRIP_MILLIS)
                .anyMatch(a -> a > intervalMillis / 2);
    }

    // Guards against a shorter interval where the limit of the control traffic holds.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void controlTrafficStaysWithinItsLimit(boolean relays) {
        if (relays) {
            mFleet.mRelay = n -> Optional.of(new Address("0.0.0.0", 65_535));
        }
        int members = 410;
        fleet(members);
        long before = mFleet.mNetwork.totalSentBytes();
        load(MEASURED);
        assertThat((mFleet.mNetwork.totalSentBytes() - before) / members / MEASURED.toSeconds())
                .isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }
}
