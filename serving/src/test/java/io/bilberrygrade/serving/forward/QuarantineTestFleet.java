package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.forward.EndpointRun;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Fleet on virtual time whose daemons see endpoints crash and answer. */
final class QuarantineTestFleet {
    /** Least time after the counted crashes from which the rule on late arrivals applies. */
    static final Duration STABILITY_WINDOW = Duration.ofSeconds(3);

    /** Time for which an endpoint reads a request before it begins to answer. */
    static final Duration READING = Duration.ofMillis(120);

    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

    /** Limit of a daemon's control traffic. */
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 2_048;

    private static final Duration MEASURED_TIME = Duration.ofSeconds(10);

    /** Requests that may reach endpoints once the rule applies. */
    static final int MAX_LATE_ARRIVALS = 3;

    final ExchangeTestFleet mFleet = new ExchangeTestFleet(7);
    private int mSoundRefused;

    void start(int members) {
        mFleet.add(members);
        mFleet.mTime.advance(SETTLE_TIME);
    }

    Instant now() {
        return mFleet.now();
    }

    Member anyMember() {
        return mFleet.mMembers.get(mFleet.mRandom.nextInt(mFleet.mMembers.size()));
    }

    /** Lets a member see the crash of a run, at which it had the given requests. */
    void recordCrash(
            Member member,
            int run,
            ImmutableList<QuarantineTestRequest> begun,
            ImmutableList<QuarantineTestRequest> waiting) {
        EndpointRun crashed = new EndpointRun(new EndpointId("e" + run), run);
        member.mProcess.schedule(
                Duration.ofMillis(mFleet.mRandom.nextInt(20)),
                () -> QuarantineTestRequest.recordCrash(member, crashed, begun, waiting, now()));
    }

    /** Sends a request that is answered, and counts it if the member refuses it. */
    void sendSound(Member member, QuarantineTestRequest request) {
        if (request.isSentBy(member, now())) {
            member.mProcess.schedule(
                    READING.multipliedBy(3), () -> request.recordAnswered(member, now()));
        } else {
            mSoundRefused++;
        }
    }

    void assertNoSoundOneRefused() {
        assertThat(mSoundRefused).as("sound requests refused").isZero();
    }

    /** Returns how many requests of a kind reached endpoints once the rule applied to them. */
    static long lateArrivals(List<Instant> arrivals, List<Instant> crashes, int countedCrashes) {
        if (crashes.size() < countedCrashes) {
            return 0;
        }
        Instant binding = crashes.get(countedCrashes - 1).plus(STABILITY_WINDOW);
        long late = 0;
        for (int i = arrivals.size() - 1; i >= 0 && arrivals.get(i).isAfter(binding); i--) {
            late++;
        }
        return late;
    }

    /** Checks what is sent between daemons while requests are played, beyond that without. */
    void assertLittleSent(PlayedRequests requests) {
        long idle = bytesPerMemberAndSecond(mFleet.mTime::advance);
        long crashing = bytesPerMemberAndSecond(requests);
        assertThat(crashing - idle)
                .as(idle + " B/s without and " + crashing + " B/s with crashes")
                .isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }

    private long bytesPerMemberAndSecond(PlayedRequests requests) {
        long before = mFleet.mNetwork.totalSentBytes();
        Instant start = now();
        requests.play(MEASURED_TIME);
        long sent = mFleet.mNetwork.totalSentBytes() - before;
        long millis = Duration.between(start, now()).toMillis();
        return sent * 1_000 / mFleet.mMembers.size() / millis;
    }

    /** Requests that are played for some time. */
    interface PlayedRequests {
        void play(Duration span);
    }
}
