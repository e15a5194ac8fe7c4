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
 * Decides whether a completion is taken on, at once and before anything of it is sent, and whether
 * a failed attempt may be tried again.
 */
public final class AdmissionController {
    private static final Duration DECODE_PER_TOKEN = Duration.ofMillis(30);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_RUNNING = 4_096;
    private static final Duration FULL_WAIT = Duration.ofSeconds(1);

    /** Retries for each request; more would make an outage of some engines one of all. */
    private static final double RETRY_RATIO = 0.2;

    /** Retries beyond the ratio in a window: the requests of one engine that fails. */
    private static final int RETRY_SLACK = 100;

    private static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

    private final PlacementController mPlacement;
    private final ShareController mShares;
    private final DrainController mDrain;
    private final PolicySettings mPolicy;
    private final UniformRandomProvider mRandom;
    private final RetryBudget mRetries =
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

    /** Returns the refusal of a request that isn't taken on. */
    public Optional<Outcome> refuse(Deployment deployment, InferenceRequest request, Instant now) {
        if (mDrain.running() > MAX_RUNNING) {
            return Optional.of(
                    refusal(Reason.OVERLOADED, "too many requests are running", FULL_WAIT));
        }
        Optional<Placement> placement = mPlacement.place(deployment, request, now);
        boolean inShare = mShares.arrived(request, work(request, placement), now);
        if (placement.isEmpty() || !mPolicy.enabled(Mechanism.ADMISSION)) {
            return Optional.empty();
        }
        Forecast forecast = forecast(deployment, request, placement.get(), now);
        return switch (AdmissionPolicy.decide(request, forecast, inShare, now)) {
            case Admission.Admitted a -> Optional.empty();
            case Admission.Refused r -> Optional.of(refusal(r.reason(), r.detail(), r.backlog()));
        };
    }

    /** Returns the tokens of the prompt that are expected to need prefill. */
    private static long work(InferenceRequest request, Optional<Placement> placement) {
        long tokens = request.prompt().tokens();
        if (placement.isEmpty() || placement.get().predictedTimeToFirstToken().isZero()) {
            return tokens;
        }
        Placement p = placement.get();
        Duration own = p.predictedTimeToFirstToken().minus(p.backlog());
        double perSecond = p.endpoint().rate().tokensPerSecond();
        return Math.clamp(Math.round(own.toNanos() / NANOS_PER_SECOND * perSecond), 1, tokens);
    }

    private Forecast forecast(
            Deployment deployment, InferenceRequest request, Placement placement, Instant now) {
        if (placement.endpoint().rate().observations() == 0) {
            return Forecast.UNKNOWN;
        }
        Forecast alone =
                new Forecast(
                        placement.predictedTimeToFirstToken(),
                        placement.backlog(),
                        DECODE_PER_TOKEN.multipliedBy(request.prompt().maxAnswerTokens()));
        return placement.lane() == Lane.SHORT
                ? alone
                : alone.beside(mShares.urgentPart(deployment, request.workClass(), now));
    }

    /** Takes note of a request that was taken on. */
    public void takenOn(Instant now) {
        mRetries.requested(now);
    }

    /** Returns whether a failed attempt may be tried again, and counts it. */
    public boolean tryRetry(Instant now) {
        return !mPolicy.enabled(Mechanism.RETRY_BUDGET) || mRetries.tryRetry(now);
    }

    private Outcome refusal(Reason reason, String detail, Duration wait) {
        return Outcome.notRun(Step.ADMISSION, reason, detail, RetryAfter.of(wait, mRandom));
    }
}
