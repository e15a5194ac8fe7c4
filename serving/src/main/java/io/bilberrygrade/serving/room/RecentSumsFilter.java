package io.bilberrygrade.serving.room;

import io.bilberrygrade.core.exchange.SumsOnDemand;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.room.FleetTraits;
import io.bilberrygrade.serving.filter.FilterChain;
import io.bilberrygrade.serving.filter.RequestFilter;
import io.bilberrygrade.serving.time.Timers;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Delays a request until the daemon has recent sums of work, for a part of the request's goal at
 * most, and reports its placement. Without an answer the request is placed by the sums at hand.
 *
 * @param <X> the state of a request
 */
public final class RecentSumsFilter<X> implements RequestFilter<X> {
    /** Time after which a request that is passed on has been placed and can be reported. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(2);

    private final SumsOnDemand mBudget = new SumsOnDemand();
    private final Function<X, Optional<Duration>> mGoal;
    private final Supplier<FleetTraits> mTraits;
    private final IntSupplier mFleet;
    private final Supplier<SumsSource> mSums;
    private final InstantSource mClock;
    private final Timers mTimers;
    private Optional<Uni<Void>> mCall = Optional.empty();
    private boolean mReportScheduled;
    private long mCalls;
    private long mLateAnswers;
    private long mOverBudget;

    /**
     * Creates the filter.
     *
     * @param goal latency goal of a request that is placed by the sums; empty for all others
     */
    public RecentSumsFilter(
            Function<X, Optional<Duration>> goal,
            Supplier<FleetTraits> traits,
            IntSupplier fleet,
            Supplier<SumsSource> sums,
            InstantSource clock,
            Timers timers) {
        mGoal = goal;
        mTraits = traits;
        mFleet = fleet;
        mSums = sums;
        mClock = clock;
        mTimers = timers;
    }

    @Override
    public Uni<Outcome> handle(X exchange, FilterChain<X> next) {
        Optional<Duration> goal = mGoal.apply(exchange);
        int fleet = mFleet.getAsInt();
        if (goal.isEmpty()
                || !SumsOnDemand.isActive(mTraits.get(), mSums.get().interval(mClock.instant()))) {
            return next.proceed(exchange);
        }
        return recentSums(goal.get(), fleet)
                .onItem()
                .transformToUni(
                        v -> {
                            scheduleReport(fleet);
                            return next.proceed(exchange);
                        });
    }

    /** Completes once the sums are recent, or the request has waited for long enough. */
    private Uni<Void> recentSums(Duration goal, int fleet) {
        Instant now = mClock.instant();
        if (!SumsOnDemand.isTooOld(mSums.get().age(now), goal)) {
            return Uni.createFrom().voidItem();
        }
        if (mCall.isEmpty() && !mBudget.tryCall(fleet, now)) {
            mOverBudget++;
            return Uni.createFrom().voidItem();
        }
        Uni<Boolean> answer = call().onItem().transform(v -> true);
        Uni<Boolean> wait =
                mTimers.after(SumsOnDemand.maxWait(goal)).onItem().transform(v -> false);
        return Uni.join()
                .first(answer, wait)
                .toTerminate()
                .invoke(answered -> mLateAnswers += answered ? 0 : 1)
                .replaceWithVoid();
    }

    /** Returns the call in flight, which requests share, or starts one. */
    private Uni<Void> call() {
        if (mCall.isEmpty()) {
            mCalls++;
            Uni<Void> call = mSums.get().refresh().memoize().indefinitely();
            mCall = Optional.of(call);
            call.onTermination().invoke(() -> mCall = Optional.empty()).subscribe().with(v -> {});
            return call;
        }
        return mCall.get();
    }

    private void scheduleReport(int fleet) {
        if (mReportScheduled || !mBudget.tryCall(fleet, mClock.instant())) {
            return;
        }
        mReportScheduled = true;
        mTimers.after(REPORT_DELAY)
                .subscribe()
                .with(
                        v -> {
                            mReportScheduled = false;
                            mSums.get().reportNow();
                        });
    }

    /** Registers the counts of this filter as metrics. */
    public void registerGauges(BiConsumer<String, LongSupplier> registry) {
        registry.accept("sums_on_demand_calls_total", this::calls);
        registry.accept("sums_on_demand_late_total", this::lateAnswers);
        registry.accept("sums_on_demand_over_budget_total", this::overBudget);
    }

    /** Returns the number of calls for recent sums. */
    public long calls() {
        return mCalls;
    }

    /** Returns the number of requests that were placed before the answer to such a call. */
    public long lateAnswers() {
        return mLateAnswers;
    }

    /** Returns the number of requests placed by old sums, since the daemon's calls are limited. */
    public long overBudget() {
        return mOverBudget;
    }

    /** Source of the sums of work of all daemons. */
    public interface SumsSource {
        /** Returns the age of the sums at hand; empty if there are none. */
        Optional<Duration> age(Instant now);

        /** Returns the interval at which the sums are renewed while work changes. */
        Duration interval(Instant now);

        /** Asks for the current sums; completes once they have come, or the call has failed. */
        Uni<Void> refresh();

        /** Reports the work of this daemon without waiting for the next periodic report. */
        void reportNow();
    }
}
