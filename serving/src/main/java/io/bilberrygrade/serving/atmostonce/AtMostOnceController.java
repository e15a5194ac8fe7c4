package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.core.atmostonce.IdempotencyKey;
import io.bilberrygrade.core.atmostonce.KeyAuthority;
import io.bilberrygrade.core.atmostonce.KeyTable;
import io.bilberrygrade.core.atmostonce.Submission;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Owns the keys that this run of the daemon issued. Runs the first submission under each key and
 * returns its outcome to all others.
 */
public final class AtMostOnceController {
    /** Time for which a key can be used after it was issued. */
    public static final Duration KEY_LIFETIME = Duration.ofMinutes(10);

    private static final int MAX_KEYS = 100_000;
    private static final long MAX_OUTCOME_BYTES = 64L << 20;

    private final PeerIdentity mSelf;
    private final KeyAuthority mAuthority;
    private final DrainController mDrain;
    private final ServiceDispatch mDispatch;
    private final Timers mTimers;
    private final boolean mRecording;
    private final InstantSource mClock;
    private final KeyTable<KeyedOutcome> mTable =
            new KeyTable<>(KEY_LIFETIME, MAX_KEYS, MAX_OUTCOME_BYTES);
    private final Map<IdempotencyKey, List<UniEmitter<? super KeyedOutcome>>> mWaiters =
            new HashMap<>();
    private long mNextSerial;

    /** Creates the controller, with no keys issued. */
    public AtMostOnceController(
            PeerIdentity self,
            KeyAuthority authority,
            DrainController drain,
            ServiceDispatch dispatch,
            Timers timers,
            PolicySettings policy,
            InstantSource clock) {
        mSelf = self;
        mAuthority = authority;
        mDrain = drain;
        mDispatch = dispatch;
        mTimers = timers;
        mRecording = policy.isEnabled(Mechanism.AT_MOST_ONCE);
        mClock = clock;
    }

    /** Issues a key to a team; empty if too many unexpired keys exist. */
    public Optional<IdempotencyKey> issue(TeamId team) {
        Instant now = mClock.instant();
        if (!mTable.tryIssue(now)) {
            return Optional.empty();
        }
        return Optional.of(
                mAuthority.issue(mSelf.instance(), mSelf.incarnation(), team, mNextSerial++, now));
    }

    /** Returns whether this run is the home of a key, that is, the run that issued it. */
    boolean isHomeOf(IdempotencyKey key) {
        return key.home().equals(mSelf.instance()) && key.incarnation().equals(mSelf.incarnation());
    }

    /** Submits a call under a valid key of this run and returns its outcome. */
    Uni<KeyedOutcome> submit(IdempotencyKey key, KeyedSubmission submission) {
        if (!mRecording) {
            return start(submission);
        }
        return switch (mTable.submit(key, submission.fingerprint(), mClock.instant())) {
            case Submission.Run<KeyedOutcome> r -> run(key, submission);
            case Submission.Wait<KeyedOutcome> w -> await(key, submission);
            case Submission.Repeat<KeyedOutcome> r -> Uni.createFrom().item(r.outcome());
            case Submission.OutcomeDropped<KeyedOutcome> n ->
                    unknown(Reason.KEY_ANSWER_NOT_KEPT, "the call ran; its answer is not kept");
            case Submission.KeyReused<KeyedOutcome> o ->
                    unknown(Reason.KEY_REUSED, "the key was used for another call");
            case Submission.Expired<KeyedOutcome> e ->
                    unknown(Reason.KEY_EXPIRED, "the key's lifetime is over");
        };
    }

    private Uni<KeyedOutcome> run(IdempotencyKey key, KeyedSubmission submission) {
        mWaiters.put(key, new ArrayList<>());
        Uni<KeyedOutcome> outcome = await(key, submission).memoize().indefinitely();
        outcome.subscribe().with(o -> {}, e -> {});
        start(submission)
                .subscribe()
                .with(
                        o -> complete(key, o),
                        e -> complete(key, KeyedOutcomes.failed(e.toString())));
        return outcome;
    }

    /**
     * Runs the call unless the daemon is draining or the deadline has passed, which is checked here
     * because the process may have been paused. Such a refusal is final.
     */
    private Uni<KeyedOutcome> start(KeyedSubmission submission) {
        if (mDrain.isDraining()) {
            return notRun(Reason.DRAINING, "the key's home takes no new requests");
        }
        if (!submission.remaining(mClock.instant()).isPositive()) {
            return notRun(Reason.DEADLINE_PAST, "the deadline has passed");
        }
        mDrain.recordStart();
        return mDispatch.dispatch(submission).onTermination().invoke(mDrain::recordEnd);
    }

    private void complete(IdempotencyKey key, KeyedOutcome outcome) {
        mTable.end(key, outcome, KeyedOutcomes.bytes(outcome));
        mWaiters.remove(key).forEach(e -> e.complete(outcome));
    }

    /** Waits for the outcome of a running call, at most until the deadline of this submission. */
    private Uni<KeyedOutcome> await(IdempotencyKey key, KeyedSubmission submission) {
        Uni<KeyedOutcome> ended = Uni.createFrom().emitter(e -> mWaiters.get(key).add(e));
        Uni<KeyedOutcome> timeout =
                mTimers.after(submission.remaining(mClock.instant()))
                        .onItem()
                        .transformToUni(
                                v -> unknown(Reason.DEADLINE_PAST, "the call is still running"));
        return Uni.join().first(ended, timeout).toTerminate();
    }

    private static Uni<KeyedOutcome> unknown(Reason reason, String detail) {
        return Uni.createFrom().item(KeyedOutcomes.unknown(reason, detail));
    }

    private static Uni<KeyedOutcome> notRun(Reason reason, String detail) {
        return Uni.createFrom().item(KeyedOutcomes.notRun(reason, detail));
    }
}
