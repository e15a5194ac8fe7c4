package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.bilberrygrade.core.exchange.FleetView;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.quarantine.CrashEvidence;
import io.bilberrygrade.core.quarantine.CrashRecord;
import io.bilberrygrade.core.quarantine.QuarantineTrials;
import io.bilberrygrade.core.quarantine.Suspect;
import io.bilberrygrade.serving.peer.CrashReport;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares what daemons know of crashed endpoints, as part of the exchange of work. Records go to and
 * from the aggregator, and only if the peer has stated another digest, so that it costs nothing
 * without crashes and a few bytes while nothing changes.
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
        if (mFleet.isAggregator(now)) {
            return reportTo(peer, mPeerDigests.getOrDefault(peer, 0L), ImmutableList.of(), now);
        }
        if (!mFleet.aggregator(now).address().equals(peer)) {
            return digestOnly(null);
        }
        ImmutableList<String> wanted =
                mQuarantine.trials().takeWanted().stream()
                        .map(Suspect::id)
                        .collect(ImmutableList.toImmutableList());
        return reportTo(peer, mPeerDigests.getOrDefault(peer, 0L), wanted, now);
    }

    private CrashReport digestOnly(ImmutableList<String> trials) {
        return new CrashReport(evidence().digest(), null, trials, null);
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
        if (evidence().isEmpty()) {
            return null;
        }
        // Others get the records from the aggregator, but one that has just started needs them now.
        boolean follows = report != null && report.trials() != null;
        return mFleet.isAggregator(now) || follows || peerDigest == 0
                ? reportTo(peer, peerDigest, granted, now)
                : digestOnly(granted);
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

    /**
     * Returns a report, with the records that changed since the last one, unless the peer has them
     * or was sent them just now.
     */
    private CrashReport reportTo(
            Address peer, long peerDigest, ImmutableList<String> trials, Instant now) {
        long own = evidence().digest();
        Sent last = mSent.getOrDefault(peer, Sent.NOTHING);
        boolean fresh = last.at().plus(RESEND_AFTER).isAfter(now);
        if (peerDigest == own || (fresh && last.digest() == own && peerDigest != 0)) {
            return digestOnly(trials);
        }
        boolean onlyChanged = fresh && peerDigest != 0;
        ImmutableSet<CrashRecord> records = ImmutableSet.copyOf(evidence().records());
        putSent(peer, new Sent(own, records, onlyChanged ? last.at() : now));
        ImmutableList<CrashRecord> changed =
                onlyChanged
                        ? Sets.difference(records, last.records()).immutableCopy().asList()
                        : records.asList();
        return CrashCodec.report(own, changed, trials, now);
    }

    private void merge(CrashReport report, Address peer, Instant now) {
        if (report.crashes() != null) {
            ImmutableList<CrashRecord> received = CrashCodec.records(report, now);
            mQuarantine.merge(received, peer.toString(), now);
            recordKnownTo(peer, received, now);
        }
    }

    /** Records that a peer needs no records to which this daemon has nothing to add. */
    private void recordKnownTo(Address peer, ImmutableList<CrashRecord> received, Instant now) {
        Sent last = mSent.getOrDefault(peer, new Sent(0, ImmutableSet.of(), now));
        ImmutableSet<CrashRecord> known =
                evidence().records().stream()
                        .filter(
                                own ->
                                        last.records().contains(own)
                                                || received.stream().anyMatch(own::isEquivalentTo))
                        .collect(ImmutableSet.toImmutableSet());
        putSent(peer, new Sent(last.digest(), known, last.at()));
    }

    private void putSent(Address peer, Sent sent) {
        if (mSent.size() >= MAX_PEERS) {
            mSent.clear();
        }
        mSent.put(peer, sent);
    }

    /** Records that a call failed, so that the peer may lack what it was sent. */
    void onCallFailed(Address peer) {
        mSent.remove(peer);
    }

    /**
     * What a peer was sent.
     *
     * @param at when it was sent all records
     */
    private record Sent(long digest, ImmutableSet<CrashRecord> records, Instant at) {
        static final Sent NOTHING = new Sent(0, ImmutableSet.of(), Instant.MIN);
    }
}
