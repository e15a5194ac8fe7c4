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
 * Owns the keys that this run of the daemon issued: decides on each submission under them, runs the
 * first and gives its outcome to all others.
 */
public final class AtMostOnceController {
    /** Time after its issue for which a key can be used. */
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
    private final Map<IdempotencyKey, List<UniEmitter<? super KeyedOutcome>>> mWaiting =
            new HashMap<>();
    private long mNextSerial;

    /** Creates the controller of a run that has issued no key yet. */
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
        mRecording = policy.enabled(Mechanism.AT_MOST_ONCE);
        mClock = clock;
    }

    /** Issues a key to a team; empty when too many are alive. */
    public Optional<IdempotencyKey> issue(TeamId team) {
        Instant now = mClock.instant();
        if (!mTable.mayIssue(now)) {
            return Optional.empty();
        }
        return Optional.of(
                mAuthority.issue(mSelf.instance(), mSelf.incarnation(), team, mNextSerial++, now));
    }

    /** Returns whether this run is the home of a key. */
    boolean isHomeOf(IdempotencyKey key) {
        return key.home().equals(mSelf.instance()) && key.incarnation().equals(mSelf.incarnation());
    }

    /** Decides on a submission under a valid key of this run and returns the call's outcome. */
    Uni<KeyedOutcome> submit(IdempotencyKey key, KeyedSubmission submission) {
        if (!mRecording) {
            return start(submission);
        }
        return switch (mTable.submit(key, submission.fingerprint(), mClock.instant())) {
            case Submission.Run<KeyedOutcome> r -> run(key, submission);
            case Submission.Wait<KeyedOutcome> w -> await(key, submission);
            case Submission.Repeat<KeyedOutcome> r -> Uni.createFrom().item(r.outcome());
            case Submission.NotKept<KeyedOutcome> n ->
                    unknown(Reason.KEY_ANSWER_NOT_KEPT, "the call ran; its answer is not kept");
            case Submission.OtherCall<KeyedOutcome> o ->
                    unknown(Reason.KEY_REUSED, "the key was used for another call");
            case Submission.Expired<KeyedOutcome> e ->
                    unknown(Reason.KEY_EXPIRED, "the key's lifetime is over");
        };
    }

    private Uni<KeyedOutcome> run(IdempotencyKey key, KeyedSubmission submission) {
        mWaiting.put(key, new ArrayList<>());
        Uni<KeyedOutcome> outcome = await(key, submission).memoize().indefinitely();
        outcome.subscribe().with(o -> {}, e -> {});
        start(submission)
                .subscribe()
                .with(o -> end(key, o), e -> end(key, KeyedOutcomes.failed(e.toString())));
        return outcome;
    }

    /** Refuses for good what can't be run now, since the time may have passed in a pause. */
    private Uni<KeyedOutcome> start(KeyedSubmission submission) {
        if (mDrain.draining()) {
            return notRun(Reason.DRAINING, "the key's home takes no new requests");
        }
        if (!submission.remaining(mClock.instant()).isPositive()) {
            return notRun(Reason.DEADLINE_PAST, "the deadline has passed");
        }
        mDrain.started();
        return mDispatch.dispatch(submission).onTermination().invoke(mDrain::finished);
    }

    private void end(IdempotencyKey key, KeyedOutcome outcome) {
        mTable.end(key, outcome, KeyedOutcomes.bytes(outcome));
        mWaiting.remove(key).forEach(e -> e.complete(outcome));
    }

    /** Waits for the outcome of a running call, until the deadline of this submission. */
    private Uni<KeyedOutcome> await(IdempotencyKey key, KeyedSubmission submission) {
        Uni<KeyedOutcome> ended = Uni.createFrom().emitter(e -> mWaiting.get(key).add(e));
        Uni<KeyedOutcome> late =
                mTimers.after(submission.remaining(mClock.instant()))
                        .onItem()
                        .transformToUni(
                                v -> unknown(Reason.DEADLINE_PAST, "the call is still running"));
        return Uni.join().first(ended, late).toTerminate();
    }

    private static Uni<KeyedOutcome> unknown(Reason reason, String detail) {
        return Uni.createFrom().item(KeyedOutcomes.unknown(reason, detail));
    }

    private static Uni<KeyedOutcome> notRun(Reason reason, String detail) {
        return Uni.createFrom().item(KeyedOutcomes.notRun(reason, detail));
    }
}
