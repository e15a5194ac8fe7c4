package io.bilberrygrade.serving.http;

import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.ServiceId;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.LifecycleEvent;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.filter.FilterChain;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.InstantSource;
import java.util.function.Supplier;

/** HTTP API for callers: reads requests, runs them through the filter chain and writes answers. */
public final class CallerApi {
    private static final String SERVICES = "/v1/services/";
    private static final int HTTP_TOO_LARGE = 413;

    private final FilterChain<Exchange> mChain;
    private final Supplier<Deployment> mDeployment;
    private final Supplier<RequestId> mIds;
    private final InstantSource mClock;
    private final RequestObserver mObserver;
    private final EventLog mEvents;

    /** Creates the API in front of a filter chain. */
    public CallerApi(
            FilterChain<Exchange> chain,
            Supplier<Deployment> deployment,
            Supplier<RequestId> ids,
            InstantSource clock,
            RequestObserver observer,
            EventLog events) {
        mChain = chain;
        mDeployment = deployment;
        mIds = ids;
        mClock = clock;
        mObserver = observer;
        mEvents = events;
    }

    /** Adds the routes; bodies over {@code maxBodyBytes} are rejected. */
    public void mount(Router router, long maxBodyBytes) {
        BodyHandler bodies = BodyHandler.create(false).setBodyLimit(maxBodyBytes);
        router.post("/v1/completions").handler(bodies).handler(this::completion);
        router.post(SERVICES + ":service/:operation").handler(bodies).handler(this::service);
        router.errorHandler(HTTP_TOO_LARGE, this::tooLarge);
    }

    private void completion(RoutingContext context) {
        RequestId id = mIds.get();
        try {
            CompletionBody body = CompletionBodyReader.read(body(context));
            HttpAnswerSink sink =
                    new HttpAnswerSink(
                            id, body.model().orElse(""), body.stream(), context.response());
            run(context.request(), id, new Call.Completion(body), body(context), sink);
        } catch (MalformedBodyException | IllegalArgumentException e) {
            refuse(context, id, Reason.MALFORMED, e.getMessage());
        }
    }

    private void service(RoutingContext context) {
        RequestId id = mIds.get();
        try {
            Call call =
                    new Call.Service(
                            new ServiceId(context.pathParam("service")),
                            context.pathParam("operation"));
            HttpAnswerSink sink = new HttpAnswerSink(id, "", false, context.response());
            run(context.request(), id, call, body(context), sink);
        } catch (IllegalArgumentException e) {
            refuse(context, id, Reason.MALFORMED, e.getMessage());
        }
    }

    private void run(
            HttpServerRequest request, RequestId id, Call call, Buffer body, HttpAnswerSink sink) {
        RelayMonitor monitor = new RelayMonitor(sink, mClock);
        Exchange exchange =
                new Exchange(
                        id,
                        call,
                        CallerHeaderReader.read(request.headers()),
                        body,
                        mClock.instant(),
                        mDeployment.get(),
                        monitor);
        mObserver.onStarted(exchange);
        mChain.proceed(exchange)
                .onFailure()
                .recoverWithItem(this::internalError)
                .subscribe()
                .with(
                        outcome -> {
                            mObserver.onEnded(
                                    exchange, monitor.relayCounts(), outcome, mClock.instant());
                            sink.end(outcome);
                        });
    }

    private Outcome internalError(Throwable e) {
        mEvents.record(new LifecycleEvent.UnexpectedError("request", e.toString()));
        return Outcome.unknown(Step.RELAY, Reason.ENDPOINT_FAILED, "internal error", "");
    }

    private void tooLarge(RoutingContext context) {
        refuse(context, mIds.get(), Reason.TOO_LARGE, "the body is over the limit");
    }

    private void refuse(RoutingContext context, RequestId id, Reason reason, String detail) {
        Outcome outcome =
                mayHaveRun(context)
                        ? Outcome.unknown(Step.PARSE, reason, detail, "")
                        : Outcome.notRun(Step.PARSE, reason, detail);
        mObserver.onRefused(id, outcome, mClock.instant());
        new HttpAnswerSink(id, "", false, context.response()).end(outcome);
    }

    /** Returns whether an earlier submission under the same key may have run. */
    private static boolean mayHaveRun(RoutingContext context) {
        return context.request().path().startsWith(SERVICES)
                && context.request().getHeader(CallerHeaderReader.IDEMPOTENCY_KEY) != null;
    }

    private static Buffer body(RoutingContext context) {
        Buffer body = context.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }
}
