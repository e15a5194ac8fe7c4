package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.event.RelayEvent;
import io.bilberrygrade.serving.relay.HandOver;
import java.time.Duration;
import java.util.Optional;

/**
 * Hands one request over to peers while no endpoint can be reached from here. A request that a peer
 * has handed over is never handed over again.
 */
final class HandOvers {
    /** Limit of peers that one request is handed over to. */
    private static final int MAX_PEERS = 3;

    private final ForwardContext mContext;
    private final ForwardExchange mExchange;
    private final ServiceId mService;
    private final AttemptHistory mHistory;
    private int mPeerCount;

    HandOvers(
            ForwardContext context,
            ForwardExchange exchange,
            ServiceId service,
            AttemptHistory history) {
        mContext = context;
        mExchange = exchange;
        mService = service;
        mHistory = history;
    }

    /** Returns the peer that should get the request; empty if endpoints should be tried. */
    Optional<Address> relay() {
        return mExchange.isHandedOver()
                        || mPeerCount >= MAX_PEERS
                        || mHistory.attemptsForPeer() <= 0
                ? Optional.empty()
                : mContext.reach().relay(mService);
    }

    /** Returns the refusal of a request of a peer that can't be served from here either. */
    Optional<Outcome> refusalOfPeer() {
        if (!mExchange.isHandedOver() || !mContext.reach().isCutFrom(mService)) {
            return Optional.empty();
        }
        mExchange.answer().markAsPeerRefusal();
        return Optional.of(
                Outcome.notRun(
                        Step.ROUTE,
                        Reason.NO_ENDPOINT,
                        "no endpoint can be reached from here either"));
    }

    /** Starts an attempt through a peer, and counts the endpoints that it may use. */
    void start(
            Address peer,
            Duration remaining,
            AnswerRelay relay,
            AttemptsInFlight inFlight,
            AttemptOwner owner) {
        mPeerCount++;
        int attempts = mHistory.attemptsForPeer();
        mHistory.recordHandOver(attempts);
        mContext.reach().recordHandedOver();
        mContext.events()
                .record(
                        new RelayEvent.HandedOver(
                                mExchange.id().value(),
                                mHistory.count(),
                                peer.toString(),
                                remaining.toMillis()));
        RelayAttempt attempt =
                new RelayAttempt(
                        mContext, mExchange, peer, handOver(attempts), remaining, relay, owner);
        inFlight.add(attempt);
        attempt.start();
    }

    private HandOver handOver(int attempts) {
        return new HandOver(
                attempts,
                mContext.state().version(),
                mContext.relayAuthenticator().proof(RelayFilter.proofSubject(mExchange)));
    }
}
