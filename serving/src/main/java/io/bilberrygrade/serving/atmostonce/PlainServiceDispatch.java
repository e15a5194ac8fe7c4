package io.bilberrygrade.serving.atmostonce;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.core.routing.EndpointView;
import io.bilberrygrade.serving.controller.EndpointController;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.peer.Bytes;
import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.bilberrygrade.serving.service.PlainService;
import io.bilberrygrade.serving.service.ServiceAnswer;
import io.bilberrygrade.serving.service.ServiceCall;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Sends a call to an instance of its service, and to another one only if the first certainly did
 * not run it.
 */
public final class PlainServiceDispatch implements ServiceDispatch {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final PlainService mService;
    private final EndpointController mEndpoints;
    private final Supplier<Deployment> mDeployment;
    private final InstantSource mClock;

    /** Creates the dispatcher. */
    public PlainServiceDispatch(
            PlainService service,
            EndpointController endpoints,
            Supplier<Deployment> deployment,
            InstantSource clock) {
        mService = service;
        mEndpoints = endpoints;
        mDeployment = deployment;
        mClock = clock;
    }

    @Override
    public Uni<KeyedOutcome> dispatch(KeyedSubmission submission) {
        ImmutableList<Endpoint> instances = mDeployment.get().instancesOf(submission.service());
        if (instances.isEmpty()) {
            String detail = "no service named '" + submission.service() + "'";
            return notRun(Step.ROUTE, Reason.UNKNOWN_SERVICE, detail, Optional.empty());
        }
        return attempt(submission, instances);
    }

    private Uni<KeyedOutcome> attempt(
            KeyedSubmission submission, ImmutableList<Endpoint> instances) {
        Instant now = mClock.instant();
        if (!submission.remaining(now).isPositive()) {
            String detail = "the deadline passed";
            return notRun(Step.DISPATCH, Reason.DEADLINE_PAST, detail, Optional.empty());
        }
        Optional<Endpoint> instance = choose(instances, now);
        if (instance.isEmpty()) {
            String detail = "no instance of the service is available";
            return notRun(Step.ROUTE, Reason.NO_ENDPOINT, detail, Optional.of(RETRY_AFTER_MILLIS));
        }
        return send(submission, instances, instance.get(), submission.remaining(now));
    }

    private Uni<KeyedOutcome> send(
            KeyedSubmission submission,
            ImmutableList<Endpoint> instances,
            Endpoint endpoint,
            Duration remaining) {
        ServiceCall call =
                new ServiceCall(
                        submission.id(),
                        submission.operation(),
                        Optional.of(submission.key()),
                        remaining,
                        submission.body());
        mEndpoints.recordDispatch(endpoint.id(), mClock.instant());
        return mService.call(endpoint, call)
                .invoke(a -> mEndpoints.recordSuccess(endpoint.id()))
                .map(PlainServiceDispatch::done)
                .onTermination()
                .invoke(() -> mEndpoints.finished(endpoint.id()))
                .onFailure(CallException.class)
                .recoverWithUni(e -> failed(submission, instances, endpoint, (CallException) e));
    }

    private static KeyedOutcome done(ServiceAnswer answer) {
        return new KeyedOutcome.Done(
                answer.status(), answer.contentType(), Bytes.of(answer.body()));
    }

    private Optional<Endpoint> choose(ImmutableList<Endpoint> instances, Instant now) {
        return instances.stream()
                .map(e -> mEndpoints.view(e, now))
                .filter(EndpointView::available)
                .min(Comparator.comparingInt(EndpointView::ownRequests))
                .map(EndpointView::endpoint);
    }

    private Uni<KeyedOutcome> failed(
            KeyedSubmission submission,
            ImmutableList<Endpoint> instances,
            Endpoint endpoint,
            CallException e) {
        mEndpoints.reportRefusalReason(endpoint.id(), e, mClock.instant());
        if (e.delivery() != Delivery.REFUSED) {
            mEndpoints.failed(endpoint.id(), mClock.instant());
        }
        if (e.delivery() == Delivery.MAY_HAVE_RUN) {
            return Uni.createFrom()
                    .item(KeyedOutcomes.failed(endpoint.id() + ": " + e.getMessage()));
        }
        ImmutableList<Endpoint> others =
                instances.stream()
                        .filter(i -> !i.equals(endpoint))
                        .collect(ImmutableList.toImmutableList());
        return attempt(submission, others);
    }

    private static Uni<KeyedOutcome> notRun(
            Step step, Reason reason, String detail, Optional<Long> retryAfterMillis) {
        return Uni.createFrom()
                .item(new KeyedOutcome.NotRun(step, reason, detail, retryAfterMillis));
    }
}
