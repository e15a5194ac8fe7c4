package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fleets of up to 410 daemons on virtual time whose endpoints crash on a part of prompts. */
final class PromptQuarantineFleetTest {
    /** Crashes after which, and the stability window, the rule applies. */
    private static final int COUNTED_CRASHES = 5;

    /** Requests with the part that a daemon without its peers may send. */
    private static final int MAX_ARRIVALS_OF_ONE = 3;

    /** Sorts behind all other parts. */
    private static final PromptPart FATAL = new PromptPart("ffdead00");

    private static final Duration READING = QuarantineTestFleet.READING;

    private final QuarantineTestFleet mModel = new QuarantineTestFleet();
    private final ExchangeTestFleet mFleet = mModel.mFleet;
    private final List<Instant> mFatalArrivals = new ArrayList<>();
    private final List<Instant> mCrashes = new ArrayList<>();
    private final Map<Integer, Integer> mArrivalsFrom = new HashMap<>();
    private ImmutableSet<PromptPart> mCommon = ImmutableSet.of();
    private int mRequests;
    private int mIds;

    /** Returns a request that no other is equal to. */
    private QuarantineTestRequest request(PromptPart... parts) {
        return new QuarantineTestRequest(
                "r" + mIds++,
                ImmutableSet.<PromptPart>builder().addAll(mCommon).add(parts).build());
    }

    /** Adds parts to all requests, so that those that are fatal have the given number of them. */
    private void setPartsOfFatalRequests(int count) {
        mCommon =
                IntStream.range(0, count - 2)
                        .mapToObj(i -> new PromptPart("%08x".formatted(0x10a3c0 + i * 0x9e3779L)))
                        .collect(ImmutableSet.toImmutableSet());
    }

    private PromptPart introduction() {
        return new PromptPart("intro" + mRequests % 3);
    }

    /** Plays requests at random members; one in five holds the fatal part. */
    private void play(Duration span, int requestsPerSecond) {
        Duration interval = Duration.ofNanos(1_000_000_000L / requestsPerSecond);
        Instant end = mFleet.now().plus(span);
        while (mFleet.now().isBefore(end)) {
            mFleet.mTime.advance(interval);
            mRequests++;
            Member member = mModel.anyMember();
            if (mRequests % 5 == 0) {
                sendFatal(member, mRequests);
            } else {
                sendSound(member);
            }
        }
    }

    private void sendFatal(Member member, int number) {
        QuarantineTestRequest request = request(introduction(), FATAL);
        if (request.isSentBy(member, mFleet.now())) {
            mFatalArrivals.add(mFleet.now());
            mArrivalsFrom.merge(member.mNumber, 1, Integer::sum);
            member.mProcess.schedule(READING, () -> crash(member, number, request));
        }
    }

    private void crash(Member member, int number, QuarantineTestRequest request) {
        mCrashes.add(mFleet.now());
        QuarantineTestRequest other = request(new PromptPart("intro" + mFleet.mRandom.nextInt(3)));
        mModel.recordCrash(member, number, ImmutableList.of(request), ImmutableList.of());
        mModel.recordCrash(mModel.anyMember(), number, ImmutableList.of(), ImmutableList.of(other));
    }

    private void sendSound(Member member) {
        mModel.sendSound(member, request(introduction()));
    }

    private void checkRule() {
        assertThat(mCrashes).isNotEmpty();
        assertThat(QuarantineTestFleet.lateArrivals(mFatalArrivals, mCrashes, COUNTED_CRASHES))
                .as(mFatalArrivals.size() + " reached endpoints")
                .isLessThanOrEqualTo(QuarantineTestFleet.MAX_LATE_ARRIVALS);
        mModel.assertNoSoundOneRefused();
    }

    @ParameterizedTest
    @CsvSource({"4, 25", "45, 100", "410, 500", "410, 5"})
    void partIsNoLongerSentByAnyDaemonAfterCrashesSeenByOthers(int members, int perSecond) {
        mModel.start(members);
        play(Duration.ofSeconds(12), perSecond);
        checkRule();
    }

    // Guards against a bound on the evidence that drops the part that is the cause.
    @ParameterizedTest
    @CsvSource({
        "4, 25, 8",
        "4, 25, 40",
        "4, 25, 64",
        "4, 25, 150",
        "45, 100, 40",
        "45, 100, 150",
        "410, 500, 8",
        "410, 500, 40",
        "410, 500, 64",
        "410, 500, 150"
    })
    void partAmongManyIsNoLongerSent(int members, int perSecond, int parts) {
        setPartsOfFatalRequests(parts);
        mModel.start(members);
        play(Duration.ofSeconds(12), perSecond);
        checkRule();
    }

    // Guards against evidence with many parts that takes the room of the control traffic.
    @ParameterizedTest
    @CsvSource({"45, 100, 150", "410, 500, 40", "410, 500, 150"})
    void manyPartsLeaveRoomInTheControlTraffic(int members, int perSecond, int parts) {
        setPartsOfFatalRequests(parts);
        mModel.start(members);
        mModel.assertLittleSent(span -> play(span, perSecond));
    }

    @ParameterizedTest
    @CsvSource({"4, 25, true", "4, 25, false", "45, 100, true", "45, 100, false", "410, 100, true"})
    void lossOfTheAggregatorKeepsThePartQuarantined(int members, int perSecond, boolean killed) {
        mModel.start(members);
        play(Duration.ofMillis(500), perSecond);
        for (int i = 0; i < 3; i++) {
            Member aggregator =
                    mFleet.member(mModel.anyMember().mFleet.aggregator(mFleet.now()).address());
            if (killed) {
                mFleet.restart(aggregator.mNumber);
            } else {
                aggregator.mProcess.pause(Duration.ofSeconds(6));
            }
            play(Duration.ofSeconds(12), perSecond);
        }
        checkRule();
    }

    /** A restarted daemon asks its peers before it is ready. */
    @ParameterizedTest
    @CsvSource({"4, 25", "45, 100"})
    void restartedDaemonsLearnTheQuarantineFromPeers(int members, int perSecond) {
        mModel.start(members);
        play(Duration.ofSeconds(5), perSecond);
        int before = mFatalArrivals.size();
        for (int i = 0; i < members; i++) {
            mFleet.restart(i);
            mFleet.mTime.advance(Duration.ofSeconds(1));
            play(Duration.ofSeconds(1), perSecond);
        }
        assertThat(mFatalArrivals).hasSize(before);
        checkRule();
    }

    /** A daemon that can't reach its peers has only its own evidence, which is enough. */
    @ParameterizedTest
    @CsvSource({"4, 25, 2", "45, 100, 2", "45, 100, 3"})
    void daemonsThatCannotReachTheirPeersStopBySelf(int members, int perSecond, int parts) {
        mModel.start(members);
        List<Member> group = mFleet.mMembers.subList(0, members / parts);
        mFleet.cut(group, mFleet.mMembers.subList(members / parts, members));
        play(Duration.ofSeconds(20), perSecond);
        Instant healed = mFleet.now();
        mFleet.mNetwork.heal();
        play(Duration.ofSeconds(10), perSecond);
        assertThat(mArrivalsFrom.values()).allMatch(n -> n <= MAX_ARRIVALS_OF_ONE);
        assertThat(mFatalArrivals)
                .noneMatch(t -> t.isAfter(healed.plus(QuarantineTestFleet.STABILITY_WINDOW)));
        mModel.assertNoSoundOneRefused();
    }

    /** Crashes of other causes, each with sound requests that are sent again and answered. */
    @ParameterizedTest
    @CsvSource({"4", "45"})
    void crashesOfOtherCausesQuarantineNothing(int members) {
        mModel.start(members);
        for (int i = 0; i < 30; i++) {
            QuarantineTestRequest begun = request(introduction());
            QuarantineTestRequest waiting = request(new PromptPart("intro" + i % 3));
            mModel.recordCrash(
                    mModel.anyMember(),
                    1_000_000 + i,
                    ImmutableList.of(begun),
                    ImmutableList.of(waiting));
            Member member = mModel.anyMember();
            member.mProcess.schedule(
                    READING.multipliedBy(2),
                    () -> {
                        begun.recordAnswered(member, mFleet.now());
                        waiting.recordAnswered(member, mFleet.now());
                    });
            for (int k = 0; k < 20; k++) {
                mFleet.mTime.advance(Duration.ofMillis(40));
                mRequests++;
                sendSound(mModel.anyMember());
            }
        }
        mModel.assertNoSoundOneRefused();
    }

    @ParameterizedTest
    @CsvSource({"45, 100", "410, 500"})
    void quarantineLeavesRoomInTheControlTraffic(int members, int perSecond) {
        mModel.start(members);
        mModel.assertLittleSent(span -> play(span, perSecond));
    }

    /** In an hour the fleet tries the part again twice, wherever requests with it arrive. */
    @Test
    void trialsAreTheFleetsAndNotEachDaemons() {
        mModel.start(8);
        play(Duration.ofSeconds(10), 20);
        int before = mFatalArrivals.size();
        play(Duration.ofMinutes(60), 5);
        assertThat(mFatalArrivals.size() - before).isEqualTo(2);
        checkRule();
    }
}
