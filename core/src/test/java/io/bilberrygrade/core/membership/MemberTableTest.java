package io.bilberrygrade.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MemberTableTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration ROUND = Duration.ofSeconds(1);
    private static final InstanceId PEER = new InstanceId("peer");

    private final MemberTable mTable =
            new MemberTable(
                    new InstanceId("self"),
                    new Incarnation(1),
                    new SuspicionPolicy(ROUND, 4),
                    START);

    private static Heartbeat heartbeat(InstanceId peer, long incarnation, long counter) {
        return new Heartbeat(peer, new Incarnation(incarnation), counter);
    }

    @ParameterizedTest
    @CsvSource({"0, ALIVE", "3999, ALIVE", "4000, SUSPECTED", "7999, SUSPECTED", "8000, DEAD"})
    void derivesLivenessFromTimeSinceLastNewHeartbeat(long millis, Liveness expected) {
        mTable.recordHeartbeat(heartbeat(PEER, 1, 5), START);

        assertThat(mTable.liveness(PEER, START.plusMillis(millis))).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"1, 5, DEAD", "1, 4, DEAD", "0, 9, DEAD", "1, 6, ALIVE", "2, 0, ALIVE"})
    void revivesPeerOnNewerHeartbeatOnly(long incarnation, long counter, Liveness expected) {
        mTable.recordHeartbeat(heartbeat(PEER, 1, 5), START);
        Instant later = START.plusSeconds(30);

        mTable.recordHeartbeat(heartbeat(PEER, incarnation, counter), later);

        assertThat(mTable.liveness(PEER, later)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"0, true", "1, false", "2, false"})
    void reportsRunAsEndedOnlyAfterLaterRun(long incarnation, boolean hasEnded) {
        mTable.recordHeartbeat(heartbeat(PEER, 1, 5), START);

        assertThat(mTable.hasEnded(PEER, new Incarnation(incarnation))).isEqualTo(hasEnded);
    }

    @Test
    void ignoresOwnPauseInSilenceOfPeers() {
        mTable.recordHeartbeat(heartbeat(PEER, 1, 5), START);
        Instant resumed = START.plusSeconds(60);

        mTable.incrementHeartbeat(resumed);

        assertThat(mTable.liveness(PEER, resumed)).isEqualTo(Liveness.ALIVE);
    }

    @Test
    void rotatesDigestThroughAllMembers() {
        for (int i = 0; i < 7; i++) {
            mTable.recordHeartbeat(heartbeat(new InstanceId("peer-" + i), 1, 1), START);
        }
        ImmutableSet.Builder<Heartbeat> seen = ImmutableSet.builder();
        for (int round = 0; round < 3; round++) {
            ImmutableList<Heartbeat> digest = mTable.digest(4, START);
            assertThat(digest).hasSize(4);
            seen.addAll(digest);
        }

        assertThat(seen.build()).hasSize(8);
    }

    @Test
    void omitsDeadPeersFromDigestAndRemovesUnpublishedOnes() {
        mTable.recordHeartbeat(heartbeat(PEER, 1, 5), START);
        Instant later = START.plusSeconds(30);

        assertThat(mTable.digest(4, later)).hasSize(1);
        mTable.retain(ImmutableSet.of(PEER), later);
        assertThat(mTable.incarnation(PEER)).isPresent();
        mTable.retain(ImmutableSet.of(), later);
        assertThat(mTable.incarnation(PEER)).isEmpty();
    }
}
