package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.forward.AttemptWork;
import io.bilberrygrade.core.forward.EndpointWork;
import io.bilberrygrade.core.identity.EndpointId;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Optional;

/** The work that one attempt adds to its engines, from its start to its end. */
final class RecordedWork {
    private final ForwardContext mContext;
    private final AttemptPlan mPlan;
    private ImmutableMap<EndpointId, EndpointWork> mRecorded = ImmutableMap.of();
    private Optional<Cancellable> mReadTimer = Optional.empty();

    RecordedWork(ForwardContext context, AttemptPlan attemptPlan) {
        mContext = context;
        mPlan = attemptPlan;
    }

    /** Counts the prompt as unread until the predicted reading time has passed. */
    void start() {
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
