package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.quarantine.CrashEvidence;
import io.bilberrygrade.core.quarantine.QuarantineTrials;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.CrashEntry;
import io.bilberrygrade.serving.peer.CrashReport;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares what daemons know of crashed endpoints, as part of the exchange of work. Records are sent
 * only to peers that have stated another digest, so that it costs nothing without crashes and a few
 * bytes while nothing changes.
 */
final class CrashExchange {
    /** Maximum number of peers whose state is kept. */
    private static final int MAX_PEERS = 2_048;

    /** Time after which records are sent again to a peer that doesn't come to have the same. */
    private static final Duration RESEND_AFTER = Duration.ofSeconds(5);

    private final FleetView mFleet;
    private final QuarantineController mQuarantine;
    private final Map<Address, Long> mPeerDigests = new HashMap<>();
    private final Map<Address, Sent> mSent = new HashMap<>();

    CrashExchange(FleetView fleet, QuarantineController quarantine) {
        mFleet = fleet;
        mQuarantine = quarantine;
    }

    private CrashEvidence evidence() {
        return mQuarantine.evidence();
    }

    /** Serves this daemon itself if it is the aggregator. */
    void update(Instant now) {
        if (mFleet.isAggregator(now) && !evidence().isEmpty()) {
            mQuarantine.recordExchanged(now);
            QuarantineTrials trials = mQuarantine.trials();
            trials.takeWanted().stream()
                    .filter(p -> trials.grant(p, now))
                    .forEach(p -> trials.add(p, now));
        }
    }

    /** Returns what to report to a peer; null if no crash is known. */
    CrashReport report(Address peer, Instant now) {
        if (evidence().isEmpty()) {
            return null;
        }
        boolean follows =
                mFleet.aggregator(now).address().equals(peer) && !mFleet.isAggregator(now);
        return new CrashReport(
                evidence().digest(),
                entriesUnlessKnown(peer, mPeerDigests.getOrDefault(peer, 0L), now),
                follows ? CrashCodec.ids(mQuarantine.trials().takeWanted()) : ImmutableList.of());
    }

    /** Applies a peer's report and returns the reply; null if no crash is known. */
    CrashReport answer(Address peer, CrashReport report, Instant now) {
        long peerDigest = 0;
        ImmutableList<String> granted = ImmutableList.of();
        if (report != null) {
            peerDigest = report.digest();
            merge(report, peer, now);
            granted = grant(report, now);
        }
        return evidence().isEmpty()
                ? null
                : new CrashReport(
                        evidence().digest(), entriesUnlessKnown(peer, peerDigest, now), granted);
    }

    private ImmutableList<String> grant(CrashReport report, Instant now) {
        if (report.trials() == null || !mFleet.isAggregator(now)) {
            return ImmutableList.of();
        }
        return report.trials().stream()
                .filter(id -> mQuarantine.trials().grant(new Suspect(id), now))
                .collect(ImmutableList.toImmutableList());
    }

    /** Applies a peer's reply; null from a peer that knows of no crash. */
    void apply(Address peer, CrashReport reply, Instant now) {
        if (mPeerDigests.size() >= MAX_PEERS) {
            mPeerDigests.clear();
        }
        if (mFleet.aggregator(now).address().equals(peer)) {
            mQuarantine.recordExchanged(now);
        }
        if (reply == null) {
            mPeerDigests.remove(peer);
            return;
        }
        mPeerDigests.put(peer, reply.digest());
        merge(reply, peer, now);
        if (reply.trials() != null) {
            reply.trials().forEach(id -> mQuarantine.trials().add(new Suspect(id), now));
        }
    }

    /** Returns the records for a peer, or null if it has them or was sent them just now. */
    private List<CrashEntry> entriesUnlessKnown(Address peer, long peerDigest, Instant now) {
        long own = evidence().digest();
        Sent last = mSent.get(peer);
        boolean sentBefore =
                last != null && last.digest() == own && last.at().plus(RESEND_AFTER).isAfter(now);
        if (peerDigest == own || (sentBefore && peerDigest != 0)) {
            return null;
        }
        if (mSent.size() >= MAX_PEERS) {
            mSent.clear();
        }
        mSent.put(peer, new Sent(own, now));
        return CrashCodec.entries(evidence().records(), now);
    }

    private void merge(CrashReport report, Address peer, Instant now) {
        if (report.crashes() != null) {
            mQuarantine.merge(CrashCodec.records(report.crashes(), now), peer.toString(), now);
        }
    }

    private record Sent(long digest, Instant at) {}
}
