package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.cost.AttemptCost;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The work that one attempt adds to its engines, from its start to its end, and the times from
 * which its cost is learned.
 */
final class RecordedWork {
    private final ForwardContext mContext;
    private final AttemptPlan mPlan;
    private ImmutableMap<EndpointId, EndpointWork> mRecorded = ImmutableMap.of();
    private Optional<Cancellable> mReadTimer = Optional.empty();
    private Instant mStartedAt = Instant.EPOCH;
    private boolean mSound;

    RecordedWork(ForwardContext context, AttemptPlan attemptPlan) {
        mContext = context;
        mPlan = attemptPlan;
    }

    /** Counts the prompt as unread until the predicted reading time has passed. */
    void start() {
        mStartedAt = mContext.clocks().now();
        mSound = mContext.tracker().isSound(mPlan.endpoint().run(), mStartedAt);
        record(mPlan.work().reading());
        if (mPlan.prefillEndMillis() > 0) {
            Duration readingTime =
                    Duration.ofMillis(mPlan.prefillEndMillis()).plus(AttemptWork.PASS);
            mReadTimer =
                    Optional.of(
                            mContext.timers()
                                    .after(readingTime)
                                    .subscribe()
                                    .with(v -> record(mPlan.work().read())));
        }
    }

    /** Counts the answer as being written. */
    void recordWriting() {
        mReadTimer.ifPresent(Cancellable::cancel);
        record(mPlan.work().writing());
        mPlan.cost().filter(c -> isStream(c)).ifPresent(this::learnTime);
    }

    private static boolean isStream(AttemptCost cost) {
        return cost.prediction().key().band().isPresent();
    }

    private void learnTime(AttemptCost cost) {
        Instant now = mContext.clocks().now();
        mContext.cost().recordTime(cost, mSound, Duration.between(mStartedAt, now), now);
    }

    /** Learns from a complete answer with the given number of events. */
    void learnFromAnswer(long events) {
        mPlan.cost()
                .ifPresent(
                        c -> {
                            if (isStream(c)) {
                                mContext.cost().recordAnswer(c, events, mContext.clocks().now());
                            } else {
                                learnTime(c);
                            }
                        });
    }

    /** Learns from the endpoint's silence before any content. */
    void learnFromSilence(Instant now) {
        mSound = false;
        mPlan.cost()
                .ifPresent(
                        c ->
                                mContext.cost()
                                        .recordSilence(c, Duration.between(mStartedAt, now), now));
    }

    void end() {
        mReadTimer.ifPresent(Cancellable::cancel);
        record(ImmutableMap.of());
    }

    private void record(ImmutableMap<EndpointId, EndpointWork> work) {
        mContext.tracker().work().replace(mRecorded, work);
        mRecorded = work;
    }
}
