package io.bilberrygrade.serving.controller;

import io.bilberrygrade.core.admission.Admission;
import io.bilberrygrade.core.admission.AdmissionPolicy;
import io.bilberrygrade.core.admission.Forecast;
import io.bilberrygrade.core.admission.RetryAfter;
import io.bilberrygrade.core.admission.RetryBudget;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.lane.Lane;
import io.bilberrygrade.core.request.InferenceRequest;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.settings.Mechanism;
import io.bilberrygrade.serving.settings.PolicySettings;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether a completion is admitted, before anything of it is sent to an engine, and whether
 * a failed attempt may be retried.
 */
public final class AdmissionController {
    private static final Duration DECODE_TIME_PER_TOKEN = Duration.ofMillis(30);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_RUNNING_REQUESTS = 4_096;
    private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Retries allowed per request; a higher ratio would turn an outage of some engines into an
     * overload of all.
     */
    private static final double RETRY_RATIO = 0.2;

    /**
     * Retries allowed beyond the ratio in one window, enough for the requests of one failing
     * engine.
     */
    private static final int RETRY_SLACK = 100;

    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    private final PlacementController mPlacement;
    private final ShareController mShares;
    private final DrainController mDrain;
    private final PolicySettings mPolicy;
    private final UniformRandomProvider mRandom;
    private final RetryBudget mRetryBudget =
            new RetryBudget(RETRY_RATIO, () -> RETRY_SLACK, RETRY_WINDOW);

    /** Creates the controller. */
    public AdmissionController(
            PlacementController placement,
            ShareController shares,
            DrainController drain,
            PolicySettings policy,
            UniformRandomProvider random) {
        mPlacement = placement;
        mShares = shares;
        mDrain = drain;
        mPolicy = policy;
        mRandom = random;
    }

    /** Returns the refusal of a request, or empty if the request is admitted. */
    public Optional<Outcome> checkAdmission(
            Deployment deployment, InferenceRequest request, Instant now) {
        if (mDrain.runningRequests() > MAX_RUNNING_REQUESTS) {
            return Optional.of(
                    refusal(
                            Reason.OVERLOADED,
                            "too many requests are running",
                            OVERLOAD_RETRY_AFTER));
        }
        Optional<Placement> placement = mPlacement.place(deployment, request, now);
        boolean inShare = mShares.recordArrival(request, prefillTokens(request, placement), now);
        if (placement.isEmpty() || !mPolicy.isEnabled(Mechanism.ADMISSION)) {
            return Optional.empty();
        }
        Forecast forecast = forecast(deployment, request, placement.get(), now);
        return switch (AdmissionPolicy.decide(request, forecast, inShare, now)) {
            case Admission.Admitted a -> Optional.empty();
            case Admission.Refused r -> Optional.of(refusal(r.reason(), r.detail(), r.backlog()));
        };
    }

    /** Returns the number of prompt tokens that are expected to need prefill. */
    private static long prefillTokens(InferenceRequest request, Optional<Placement> placement) {
        long tokens = request.prompt().tokens();
        if (placement.isEmpty() || placement.get().predictedTimeToFirstToken().isZero()) {
            return tokens;
        }
        Placement p = placement.get();
        Duration prefillTime = p.predictedTimeToFirstToken().minus(p.backlog());
        double perSecond = p.endpoint().rate().tokensPerSecond();
        return Math.clamp(
                Math.round(prefillTime.toNanos() / NANOS_PER_SECOND * perSecond), 1, tokens);
    }

    private Forecast forecast(
            Deployment deployment, InferenceRequest request, Placement placement, Instant now) {
        if (placement.endpoint().rate().observations() == 0) {
            return Forecast.UNKNOWN;
        }
        Forecast uncontended =
                new Forecast(
                        placement.predictedTimeToFirstToken(),
                        placement.backlog(),
                        DECODE_TIME_PER_TOKEN.multipliedBy(request.prompt().maxAnswerTokens()));
        return placement.lane() == Lane.SHORT
                ? uncontended
                : uncontended.withUrgentLoad(
                        mShares.urgentPart(deployment, request.workClass(), now));
    }

    /** Records an admitted request, which adds to the retry budget. */
    public void recordAdmitted(Instant now) {
        mRetryBudget.recordRequest(now);
    }

    /**
     * Returns whether a failed attempt may be retried and, if so, charges the retry to the budget.
     */
    public boolean tryRetry(Instant now) {
        return !mPolicy.isEnabled(Mechanism.RETRY_BUDGET) || mRetryBudget.tryRetry(now);
    }

    private Outcome refusal(Reason reason, String detail, Duration wait) {
        return Outcome.notRun(Step.ADMISSION, reason, detail, RetryAfter.of(wait, mRandom));
    }
}
