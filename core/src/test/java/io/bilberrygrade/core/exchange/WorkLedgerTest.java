package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class WorkLedgerTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final EndpointWork ONE = new EndpointWork(1, 20, 0, 1, 5_000);

    private final WorkLedger mLedger = new WorkLedger();

    private void hear(String peer, int calls, long millis) {
        EndpointWork work = new EndpointWork(calls, 0, 0, 0, 0);
        mLedger.heard(new InstanceId(peer), ImmutableMap.of(ENGINE, work), T0.plusMillis(millis));
    }

    private int calls(long millis) {
        return mLedger.of(ENGINE, T0.plusMillis(millis)).calls();
    }

    @Test
    void addsOwnWorkAndThatOfAllPeers() {
        mLedger.add(ENGINE, ONE);
        hear("a", 2, 0);
        hear("b", 3, 0);
        assertThat(calls(10)).isEqualTo(6);
        assertThat(mLedger.own()).containsExactly(Map.entry(ENGINE, ONE));
        assertThat(mLedger.of(new EndpointId("other"), T0)).isEqualTo(EndpointWork.NONE);
    }

    @Test
    void laterStatementReplacesTheEarlier() {
        hear("a", 5, 0);
        hear("a", 1, 100);
        assertThat(calls(200)).isEqualTo(1);
        mLedger.heard(new InstanceId("a"), ImmutableMap.of(), T0.plusMillis(300));
        assertThat(calls(400)).isZero();
    }

    @ParameterizedTest
    @CsvSource({"1999, 3, 2", "2000, 1, 1", "2499, 1, 1", "2500, 0, 0"})
    void forgetsPeersThatHaveFallenSilent(long millis, int calls, int peers) {
        hear("a", 9, 0);
        hear("b", 2, 0);
        hear("a", 1, 500);
        assertThat(calls(millis)).isEqualTo(calls);
        assertThat(mLedger.peers(T0.plusMillis(millis))).isEqualTo(peers);
    }

    @Test
    void endedWorkLeavesNothingBehind() {
        mLedger.add(ENGINE, ONE);
        mLedger.add(ENGINE, ONE.negated());
        assertThat(mLedger.own()).isEmpty();
        assertThat(mLedger.of(ENGINE, T0)).isEqualTo(EndpointWork.NONE);
    }
}
