package io.bilberrygrade.core.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.EndpointId;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests a daemon's ledger together with the sums of the aggregator that it queries. */
final class WorkLedgerTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointId ENGINE = new EndpointId("e");
    private static final EndpointId OTHER = new EndpointId("other");
    private static final EndpointWork ONE = new EndpointWork(1, 20, 0, 1, 5_000);
    private static final Address SELF = new Address("10.0.0.1", 1);
    private static final FleetMember AGGREGATOR = new FleetMember(new Address("10.0.0.9", 1), 1);

    private final WorkLedger mLedger = new WorkLedger();
    private final WorkSums mSums = new WorkSums();

    private void reportPeer(int number, int calls) {
        mSums.recordReport(
                new Address("10.0.0.2", number),
                calls == 0
                        ? ImmutableMap.of()
                        : ImmutableMap.of(ENGINE, new EndpointWork(calls, 0, 0, 0, 0)),
                T0);
    }

    private void exchangeWithAggregator() {
        ImmutableMap<EndpointId, EndpointWork> own = mLedger.ownWork();
        long version = mLedger.receivedSums().version(AGGREGATOR);
        mSums.recordReport(SELF, own, T0);
        mLedger.receivedSums().apply(AGGREGATOR, version, mSums.since(version, T0), own, T0);
    }

    private int calls() {
        return mLedger.of(ENGINE, T0.plusMillis(10)).calls();
    }

    @Test
    void addsOwnWorkAndWorkOfAllPeers() {
        mLedger.add(ENGINE, ONE);
        reportPeer(1, 2);
        reportPeer(2, 3);
        exchangeWithAggregator();
        assertThat(calls()).isEqualTo(6);
        assertThat(mLedger.ownWork()).containsExactly(Map.entry(ENGINE, ONE));
        assertThat(mLedger.of(OTHER, T0)).isEqualTo(EndpointWork.NONE);
    }

    @Test
    void ownWorkChangedSinceRequestCountsOnce() {
        mLedger.add(ENGINE, ONE);
        exchangeWithAggregator();
        mLedger.add(ENGINE, ONE);
        assertThat(calls()).isEqualTo(2);
        mLedger.add(ENGINE, ONE.negated());
        mLedger.add(ENGINE, ONE.negated());
        assertThat(calls()).isZero();
        exchangeWithAggregator();
        assertThat(calls()).isZero();
    }

    @Test
    void laterReportOfPeerReplacesEarlierOne() {
        reportPeer(1, 5);
        exchangeWithAggregator();
        reportPeer(1, 1);
        exchangeWithAggregator();
        assertThat(calls()).isEqualTo(1);
        reportPeer(1, 0);
        exchangeWithAggregator();
        assertThat(calls()).isZero();
    }

    @Test
    void expiredSumsAreIgnored() {
        reportPeer(1, 2);
        exchangeWithAggregator();
        assertThat(mLedger.of(ENGINE, T0.plusMillis(1_999)).calls()).isEqualTo(2);
        assertThat(mLedger.of(ENGINE, T0.plusMillis(2_000)).calls()).isZero();
    }

    @Test
    void deltaOnAnotherBaseVersionIsIgnored() {
        reportPeer(1, 2);
        exchangeWithAggregator();
        WorkSums.Update gap = new WorkSums.Update(99, false, ImmutableMap.of(ENGINE, ONE));
        mLedger.receivedSums().apply(AGGREGATOR, 98, gap, ImmutableMap.of(), T0);
        assertThat(calls()).isEqualTo(2);
        FleetMember next = new FleetMember(new Address("10.0.0.8", 1), 2);
        mLedger.receivedSums().apply(next, 98, gap, ImmutableMap.of(), T0);
        assertThat(calls()).isEqualTo(2);
    }

    @Test
    void endedWorkLeavesNoEntry() {
        mLedger.add(ENGINE, ONE);
        mLedger.add(ENGINE, ONE.negated());
        assertThat(mLedger.ownWork()).isEmpty();
        assertThat(mLedger.of(ENGINE, T0)).isEqualTo(EndpointWork.NONE);
    }
}
