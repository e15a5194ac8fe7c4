package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fleets of up to 410 daemons on virtual time whose endpoints crash on a part of prompts. */
final class PromptQuarantineFleetTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final Duration STABILITY_WINDOW = Duration.ofSeconds(3);

    /** Crashes after which, and the stability window, the rule applies. */
    private static final int COUNTED_CRASHES = 5;

    /** Requests with the part that may reach endpoints after that. */
    private static final int MAX_LATE_ARRIVALS = 3;

    /** Limit of a daemon's control traffic. */
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 2_048;

    private static final Suspect FATAL = new Suspect("dead");
    private static final Duration READING = Duration.ofMillis(120);

    private final ExchangeTestFleet mFleet = new ExchangeTestFleet(7);
    private final List<Instant> mFatalArrivals = new ArrayList<>();
    private final List<Instant> mCrashes = new ArrayList<>();
    private final Map<Integer, Integer> mArrivalsFrom = new HashMap<>();
    private int mRequests;
    private int mSoundRefused;

    private void start(int members) {
        mFleet.add(members);
        mFleet.mTime.advance(SETTLE_TIME);
    }

    private static ImmutableSet<Suspect> parts(Suspect... parts) {
        return ImmutableSet.copyOf(parts);
    }

    private Suspect introduction() {
        return new Suspect("intro" + mRequests % 3);
    }

    private Member anyMember() {
        return mFleet.mMembers.get(mFleet.mRandom.nextInt(mFleet.mMembers.size()));
    }

    /** Plays requests at random members; one in five holds the fatal part. */
    private void play(Duration span, int requestsPerSecond) {
        Duration interval = Duration.ofNanos(1_000_000_000L / requestsPerSecond);
        Instant end = mFleet.now().plus(span);
        while (mFleet.now().isBefore(end)) {
            mFleet.mTime.advance(interval);
            mRequests++;
            Member member = anyMember();
            if (mRequests % 5 == 0) {
                sendFatal(member, mRequests);
            } else {
                sendSound(member);
            }
        }
    }

    private void sendFatal(Member member, int number) {
        ImmutableSet<Suspect> parts = parts(introduction(), FATAL);
        if (isSent(member, parts)) {
            mFatalArrivals.add(mFleet.now());
            mArrivalsFrom.merge(member.mNumber, 1, Integer::sum);
            member.mProcess.schedule(READING, () -> crash(member, number, parts));
        }
    }

    private boolean isSent(Member member, ImmutableSet<Suspect> parts) {
        return new QuarantineCheck(member.mQuarantine, () -> parts)
                .check(false, mFleet.now())
                .isEmpty();
    }

    private void crash(Member member, int number, ImmutableSet<Suspect> parts) {
        mCrashes.add(mFleet.now());
        Suspect other = new Suspect("intro" + mFleet.mRandom.nextInt(3));
        record(member, number, parts, ImmutableSet.of());
        record(anyMember(), number, ImmutableSet.of(), parts(other));
    }

    /** Lets a member see the crash of a run, at which it had the given requests. */
    private void record(
            Member member, int run, ImmutableSet<Suspect> begun, ImmutableSet<Suspect> waiting) {
        member.mProcess.schedule(
                Duration.ofMillis(mFleet.mRandom.nextInt(20)),
                () ->
                        member.mQuarantine.recordCrash(
                                new CrashRecord(
                                        new EndpointRun(new EndpointId("e" + run), run),
                                        mFleet.now(),
                                        begun,
                                        waiting,
                                        ImmutableSet.of()),
                                mFleet.now()));
    }

    private void sendSound(Member member) {
        ImmutableSet<Suspect> parts = parts(introduction());
        if (!isSent(member, parts)) {
            mSoundRefused++;
        } else {
            member.mProcess.schedule(
                    READING.multipliedBy(3),
                    () -> member.mQuarantine.recordAnswered(() -> parts, mFleet.now()));
        }
    }

    private void checkRule() {
        assertThat(mCrashes).isNotEmpty();
        Instant binding =
                mCrashes.size() < COUNTED_CRASHES
                        ? Instant.MAX
                        : mCrashes.get(COUNTED_CRASHES - 1).plus(STABILITY_WINDOW);
        assertThat(mFatalArrivals.stream().filter(t -> t.isAfter(binding)).count())
                .as(mFatalArrivals.size() + " reached endpoints")
                .isLessThanOrEqualTo(MAX_LATE_ARRIVALS);
        assertThat(mSoundRefused).isZero();
    }

    @ParameterizedTest
    @CsvSource({"4, 25", "45, 100", "410, 500", "410, 5"})
    void partIsNoLongerSentByAnyDaemonAfterCrashesSeenByOthers(int members, int perSecond) {
        start(members);
        play(Duration.ofSeconds(12), perSecond);
        checkRule();
    }

    @ParameterizedTest
    @CsvSource({"4, 25, true", "4, 25, false", "45, 100, true", "45, 100, false", "410, 100, true"})
    void lossOfTheAggregatorKeepsThePartQuarantined(int members, int perSecond, boolean killed) {
        start(members);
        play(Duration.ofMillis(500), perSecond);
        for (int i = 0; i < 3; i++) {
            Member aggregator =
                    mFleet.member(anyMember().mFleet.aggregator(mFleet.now()).address());
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
        start(members);
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
        start(members);
        List<Member> group = mFleet.mMembers.subList(0, members / parts);
        mFleet.cut(group, mFleet.mMembers.subList(members / parts, members));
        play(Duration.ofSeconds(20), perSecond);
        Instant healed = mFleet.now();
        mFleet.mNetwork.heal();
        play(Duration.ofSeconds(10), perSecond);
        assertThat(mArrivalsFrom.values()).allMatch(n -> n <= MAX_LATE_ARRIVALS);
        assertThat(mFatalArrivals).noneMatch(t -> t.isAfter(healed.plus(STABILITY_WINDOW)));
        assertThat(mSoundRefused).isZero();
    }

    /** Crashes of other causes, each with sound requests that are sent again and answered. */
    @ParameterizedTest
    @CsvSource({"4", "45"})
    void crashesOfOtherCausesQuarantineNothing(int members) {
        start(members);
        for (int i = 0; i < 30; i++) {
            ImmutableSet<Suspect> begun = parts(introduction());
            ImmutableSet<Suspect> waiting = parts(new Suspect("intro" + i % 3));
            record(anyMember(), 1_000_000 + i, begun, waiting);
            Member member = anyMember();
            member.mProcess.schedule(
                    READING.multipliedBy(2),
                    () ->
                            member.mQuarantine.recordAnswered(
                                    () -> Sets.union(begun, waiting).immutableCopy(),
                                    mFleet.now()));
            for (int k = 0; k < 20; k++) {
                mFleet.mTime.advance(Duration.ofMillis(40));
                mRequests++;
                sendSound(anyMember());
            }
        }
        assertThat(mSoundRefused).isZero();
    }

    @ParameterizedTest
    @CsvSource({"45, 100", "410, 500"})
    void quarantineLeavesRoomInTheControlTraffic(int members, int perSecond) {
        start(members);
        long idle = bytesPerMemberAndSecond(members, 0);
        long crashing = bytesPerMemberAndSecond(members, perSecond);
        assertThat(crashing - idle)
                .as(idle + " B/s without and " + crashing + " B/s with crashes")
                .isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }

    private long bytesPerMemberAndSecond(int members, int perSecond) {
        long before = mFleet.mNetwork.totalSentBytes();
        if (perSecond == 0) {
            mFleet.mTime.advance(Duration.ofSeconds(10));
        } else {
            play(Duration.ofSeconds(10), perSecond);
        }
        return (mFleet.mNetwork.totalSentBytes() - before) / members / 10;
    }

    /** In an hour the fleet tries the part again twice, wherever requests with it arrive. */
    @Test
    void trialsAreTheFleetsAndNotEachDaemons() {
        start(8);
        play(Duration.ofSeconds(10), 20);
        int before = mFatalArrivals.size();
        play(Duration.ofMinutes(60), 5);
        assertThat(mFatalArrivals.size() - before).isEqualTo(2);
        checkRule();
    }
}
