package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.atmostonce.KeyAuthority;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Routes submissions to the home of their key. Only the home may run a call or report that it did
 * not run, so that the outcome is unknown while the home is unreachable.
 */
public final class KeyRouter {
    /** Maximum size of the body of a call under a key and of a forwarded answer, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private final KeyAuthority mAuthority;
    private final AtMostOnceController mController;
    private final MembershipController mMembership;
    private final PeerNetwork mPeers;
    private final InstantSource mClock;

    /** Creates the router of one daemon. */
    public KeyRouter(
            KeyAuthority authority,
            AtMostOnceController controller,
            MembershipController membership,
            PeerNetwork peers,
            InstantSource clock) {
        mAuthority = authority;
        mController = controller;
        mMembership = membership;
        mPeers = peers;
        mClock = clock;
    }

    /** Parses a key; empty if it is malformed or wasn't issued to the team. */
    Optional<IdempotencyKey> validKey(String text, TeamId team) {
        return IdempotencyKey.parse(text).filter(k -> mAuthority.isValid(k, team));
    }

    /** Submits a call under a valid key, here or at the key's home, and returns its outcome. */
    Uni<KeyedOutcome> submit(IdempotencyKey key, KeyedSubmission submission) {
        if (mController.isHomeOf(key)) {
            return mController.submit(key, submission);
        }
        if (mMembership.hasEnded(key.home(), key.incarnation())) {
            return unknown(Reason.KEY_HOME_CHANGED, "the key's home was restarted");
        }
        Duration remaining = submission.remaining(mClock.instant());
        Optional<Address> home = mMembership.address(key.home());
        if (home.isEmpty() || !remaining.isPositive()) {
            return unknown(Reason.KEY_HOME_UNREACHABLE, "the key's home can't be reached");
        }
        return forward(home.get(), submission, remaining);
    }

    private Uni<KeyedOutcome> forward(
            Address home, KeyedSubmission submission, Duration remaining) {
        PeerMessage call =
                new PeerMessage.KeyedCall(
                        submission.id().value(),
                        submission.team().value(),
                        submission.key(),
                        submission.service().value(),
                        submission.operation(),
                        remaining.toMillis(),
                        Bytes.of(submission.body()));
        return mPeers.call(home, call, remaining)
                .map(KeyRouter::outcome)
                .onFailure(CallException.class)
                .recoverWithItem(
                        e -> KeyedOutcomes.unknown(Reason.KEY_HOME_UNREACHABLE, e.getMessage()));
    }

    private static KeyedOutcome outcome(PeerMessage reply) {
        return reply instanceof PeerMessage.KeyedAnswer a
                ? a.outcome()
                : KeyedOutcomes.unknown(Reason.KEY_HOME_UNREACHABLE, "an unexpected reply");
    }

    /** Handles a submission that a peer forwarded to this daemon. */
    public Uni<PeerMessage> onKeyedCall(PeerMessage.KeyedCall call) {
        Instant deadline = mClock.instant().plusMillis(call.remainingMillis());
        TeamId team = new TeamId(call.team());
        Optional<IdempotencyKey> key = validKey(call.key(), team);
        if (key.isEmpty() || !mController.isHomeOf(key.get())) {
            return unknown(Reason.KEY_HOME_CHANGED, "the key is of another run")
                    .map(PeerMessage.KeyedAnswer::new);
        }
        KeyedSubmission submission =
                new KeyedSubmission(
                        new RequestId(call.request()),
                        team,
                        call.key(),
                        new ServiceId(call.service()),
                        call.operation(),
                        deadline,
                        call.body().toBuffer());
        return mController
                .submit(key.get(), submission)
                .map(KeyRouter::boundedAnswer)
                .map(PeerMessage.KeyedAnswer::new);
    }

    private static KeyedOutcome boundedAnswer(KeyedOutcome outcome) {
        return KeyedOutcomes.bytes(outcome) > MAX_BODY_BYTES
                ? KeyedOutcomes.unknown(
                        Reason.KEY_ANSWER_NOT_KEPT, "the call ran; its answer is too large")
                : outcome;
    }

    private static Uni<KeyedOutcome> unknown(Reason reason, String detail) {
        return Uni.createFrom().item(KeyedOutcomes.unknown(reason, detail));
    }
}
