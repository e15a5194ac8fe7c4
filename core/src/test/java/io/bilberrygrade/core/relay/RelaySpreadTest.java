package io.bilberrygrade.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrygrade.core.identity.Address;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Model of a fleet of which many daemons are cut off and send all requests through the others.
 * Guards against load that falls on a few of these.
 */
final class RelaySpreadTest {
    private static final int SECONDS = 10;
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int STEP_MILLIS = 1_000 / REQUESTS_PER_SECOND;
    private static final int NAMED = 8;
    private static final int MAX_DURATION_MILLIS = 3_000;

    private final UniformRandomProvider mRandom = RandomSource.SPLIT_MIX_64.create(7);
    private final RelayMembers mMembers = new RelayMembers(mRandom);
    private final List<CutDaemon> mCut = new ArrayList<>();
    private final Map<Address, Integer> mTotals = new HashMap<>();
    private final PriorityQueue<UnderWay> mUnderWay = new PriorityQueue<>();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private Optional<Address> mSlow = Optional.empty();

    private static Address member(int number) {
        return new Address("10.0." + number / 200 + "." + (1 + number % 200), 1);
    }

    private void start(int cut) {
        for (int i = 0; i < cut; i++) {
            mCut.add(new CutDaemon(member(i), mRandom.nextInt(STEP_MILLIS)));
        }
    }

    /** Plays some seconds and returns the numbers of requests that each relay got in a second. */
    private List<Map<Address, Integer>> play(int members, int cut) {
        start(cut);
        List<Map<Address, Integer>> seconds = new ArrayList<>();
        for (int i = 0; i < SECONDS; i++) {
            Map<Address, Integer> counts = new HashMap<>();
            report(members, cut);
            for (int millis = 0; millis < 1_000; millis++) {
                step(millis, counts);
                mNow = mNow.plusMillis(1);
            }
            counts.forEach((r, c) -> mTotals.merge(r, c, Integer::sum));
            seconds.add(counts);
        }
        return seconds;
    }

    private void report(int members, int cut) {
        for (int i = cut; i < members; i++) {
            mMembers.recordReport(member(i), Optional.of(member(i)), mNow);
        }
    }

    private void step(int millis, Map<Address, Integer> counts) {
        while (!mUnderWay.isEmpty() && !mUnderWay.peek().endsAt().isAfter(mNow)) {
            UnderWay ended = mUnderWay.remove();
            ended.from().mChoice.recordEnded(ended.relay());
        }
        mCut.stream()
                .filter(d -> millis % STEP_MILLIS == d.mPhase)
                .forEach(d -> counts.merge(d.send(), 1, Integer::sum));
    }

    private void checkNoneOverTwiceTheMean(Map<Address, Integer> counts, int seconds, int relays) {
        double mean = (double) mCut.size() * REQUESTS_PER_SECOND * seconds / relays;
        assertThat(counts.values()).allMatch(c -> c <= 2 * mean);
    }

    @ParameterizedTest
    @CsvSource({"30, 15", "410, 200", "35, 10", "134, 67"})
    void noRelayGetsOverTwiceTheMean(int members, int cut) {
        List<Map<Address, Integer>> seconds = play(members, cut);
        int relays = members - cut;
        seconds.forEach(s -> checkNoneOverTwiceTheMean(s, 1, relays));
        checkNoneOverTwiceTheMean(mTotals, SECONDS, relays);
        assertThat(mTotals).hasSize(relays);
    }

    /** A relay that answers slowly must not gather as many requests as the others. */
    @ParameterizedTest
    @CsvSource({"30, 15", "410, 200"})
    void slowRelayGetsFewerRequests(int members, int cut) {
        Address slow = member(members - 1);
        mSlow = Optional.of(slow);
        play(members, cut);
        double mean = (double) cut * REQUESTS_PER_SECOND * SECONDS / (members - cut);
        assertThat(mTotals.get(slow)).isLessThan((int) mean);
    }

    private record UnderWay(Instant endsAt, CutDaemon from, Address relay)
            implements Comparable<UnderWay> {
        @Override
        public int compareTo(UnderWay other) {
            return endsAt.compareTo(other.endsAt);
        }
    }

    private final class CutDaemon {
        private final Address mAddress;
        private final int mPhase;
        private final RelayChoice mChoice = new RelayChoice(mRandom);

        CutDaemon(Address address, int phase) {
            mAddress = address;
            mPhase = phase;
        }

        /** Sends a request and returns the relay. */
        Address send() {
            if (mChoice.isStale(mNow)) {
                mChoice.set(mMembers.nameFor(mAddress, NAMED, mNow), mNow);
            }
            Address relay = mChoice.choose(mNow).orElseThrow();
            mChoice.recordStarted(relay);
            long millis = 1L + mRandom.nextInt(MAX_DURATION_MILLIS);
            long factor = mSlow.filter(relay::equals).isPresent() ? 10 : 1;
            mUnderWay.add(new UnderWay(mNow.plus(Duration.ofMillis(millis * factor)), this, relay));
            return relay;
        }
    }
}
