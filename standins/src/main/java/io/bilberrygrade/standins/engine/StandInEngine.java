package io.bilberrygrade.standins.engine;

import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.bilberrygrade.serving.wire.EngineStateDocument;
import io.bilberrygrade.serving.wire.LoadDocument;
import io.bilberrygrade.serving.wire.RefusalDocument;
import io.bilberrygrade.serving.wire.ReservationDocument;
import io.bilberrygrade.serving.wire.ReservationRequest;
import io.bilberrygrade.serving.wire.SegmentDocument;
import io.bilberrygrade.standins.control.Json;
import io.bilberrygrade.standins.control.StandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/** Stand-in model engine that implements docs/PROTOCOL.md with an {@link EngineScheduler}. */
public final class StandInEngine extends StandIn<EngineFaults> {
    private static final long STEP_MILLIS = 2;
    private static final int CONFLICT = 409;

    private final EngineSettings mSettings;
    private final EngineScheduler mScheduler;
    private final EngineOrders mOrders;
    private final LoadHistory mLoadHistory = new LoadHistory();
    private final Set<AnswerStream> mStreams = new LinkedHashSet<>();
    private KvImports mImports;
    private OrderExecutor mOrderExecutor;
    private long mStepNanos;

    private StandInEngine(EngineSettings settings) {
        super(
                settings.address(),
                EngineFaults.class,
                EngineFaults.none(settings.loadLag().toMillis()));
        mSettings = settings;
        UUID runId = UUID.randomUUID();
        mScheduler =
                new EngineScheduler(
                        settings,
                        runId.toString().substring(0, 8),
                        runId.getLeastSignificantBits());
        mOrders = new EngineOrders(settings.models());
    }

    /** Starts an engine and returns it when it listens. */
    public static Uni<StandInEngine> start(Vertx vertx, EngineSettings settings) {
        return deploy(vertx, new StandInEngine(settings));
    }

    @Override
    protected void onStart() {
        mImports = new KvImports(vertx);
        mOrderExecutor = new OrderExecutor(vertx, mSettings, mOrders);
        mStepNanos = System.nanoTime();
        recordLoad();
        vertx.setPeriodic(STEP_MILLIS, id -> step());
    }

    private void step() {
        long nanos = System.nanoTime();
        long elapsed = isFrozen() ? 0 : nanos - mStepNanos;
        mStepNanos = nanos;
        if (isFrozen()) {
            return;
        }
        double factor = Math.max(faults().slowFactor(), 1);
        mScheduler.advance(now(), Duration.ofNanos((long) (elapsed / factor)));
        recordLoad();
    }

    private void recordLoad() {
        mLoadHistory.add(now(), Duration.ofMillis(faults().loadLagMillis()), mScheduler.load());
    }

    @Override
    protected void onFaults(EngineFaults faults) {
        mScheduler.setCacheEventFaults(
                faults.cacheEventLossPercent(), Duration.ofMillis(faults.cacheEventDelayMillis()));
        if (faults.cutStreams()) {
            List.copyOf(mStreams).forEach(AnswerStream::cut);
            setFaults(faults.withCutStreamsReset());
        }
    }

    @Override
    protected void addCalls(Router router) {
        router.route().handler(this::addLoadHeader);
        router.post("/v1/completions").handler(this::complete);
        router.delete("/v1/completions/:request/:attempt").handler(this::cancel);
        router.post("/v1/reservations").handler(this::reserve);
        router.delete("/v1/reservations/:id").handler(this::release);
        router.post("/v1/segments").handler(this::prefillSegment);
        router.get("/v1/kv/:handle").handler(this::exportKv);
        router.get("/v1/state").handler(c -> Json.send(c, 200, state()));
        router.get("/v1/load").handler(c -> Json.send(c, 200, publishedLoad()));
        router.get("/v1/cache-events").handler(this::sendCacheEvents);
        router.post("/v1/orders").handler(c -> mOrderExecutor.execute(c, checksFencing()));
    }

    private void addLoadHeader(RoutingContext context) {
        putLoadHeader(context);
        context.next();
    }

    private void putLoadHeader(RoutingContext context) {
        context.response().putHeader(EndpointHeaders.LOAD, Json.write(publishedLoad()));
    }

    private void complete(RoutingContext context) {
        byte[] bytes = Json.body(context);
        PromptBody body = PromptBody.parse(bytes);
        Optional<String> refusal = refusal(context, body.model());
        if (refusal.isPresent()) {
            refuse(context, refusal.get());
            return;
        }
        byte[] prompt = body.prompt().getBytes(StandardCharsets.UTF_8);
        CallHeaders headers = new CallHeaders(context.request());
        JobSpec spec = headers.completion(now(), body, prompt.length);
        long seed = TokenText.seed(prompt);
        mImports.read(context.request().getHeader(EndpointHeaders.IMPORT))
                .subscribe()
                .with(
                        imported -> submit(context, spec.withImport(imported), seed),
                        failure -> refuse(context, "import"));
    }

    private Optional<String> refusal(RoutingContext context, String bodyModel) {
        CallHeaders headers = new CallHeaders(context.request());
        if (faults().leaving() && headers.text(EndpointHeaders.RESERVATION_ID).isEmpty()) {
            return Optional.of("leaving");
        }
        String model = headers.text(EndpointHeaders.MODEL).orElse(bodyModel);
        return mOrders.hasLoaded(model) ? Optional.empty() : Optional.of("model");
    }

    private void submit(RoutingContext context, JobSpec spec, long seed) {
        if (context.response().closed()) {
            return;
        }
        AnswerStream stream =
                new AnswerStream(context, seed, spec.maxTokens(), () -> putLoadHeader(context));
        mStreams.add(stream);
        context.response().endHandler(() -> mStreams.remove(stream));
        context.response().closeHandler(() -> abandon(stream));
        mScheduler.submit(now(), spec, stream).ifPresent(stream::refused);
    }

    private void abandon(AnswerStream stream) {
        mStreams.remove(stream);
        mScheduler.abandon(stream);
    }

    private void cancel(RoutingContext context) {
        int attempt = Integer.parseInt(context.pathParam("attempt"));
        mScheduler.cancel(context.pathParam("request"), attempt);
        context.response().setStatusCode(204).endAndForget();
    }

    private void reserve(RoutingContext context) {
        if (faults().leaving()) {
            refuse(context, "leaving");
            return;
        }
        ReservationRequest request = Json.read(Json.body(context), ReservationRequest.class);
        mScheduler
                .reserve(now(), request)
                .ifPresentOrElse(
                        id -> Json.send(context, 201, reservation(id, request)),
                        () -> refuse(context, "memory"));
    }

    private static ReservationDocument reservation(String id, ReservationRequest request) {
        return new ReservationDocument(
                id,
                request.requestId(),
                request.attempt(),
                request.incarnation(),
                request.tokens(),
                request.deadlineMillis());
    }

    private void release(RoutingContext context) {
        mScheduler.release(context.pathParam("id"));
        context.response().setStatusCode(204).endAndForget();
    }

    private void prefillSegment(RoutingContext context) {
        JobSpec spec = new CallHeaders(context.request()).segment(now());
        if (spec.reservationId().isEmpty()) {
            refuse(context, "memory");
            return;
        }
        mImports.read(context.request().getHeader(EndpointHeaders.IMPORT))
                .subscribe()
                .with(
                        imported -> submitSegment(context, spec),
                        failure -> refuse(context, "import"));
    }

    private void submitSegment(RoutingContext context, JobSpec spec) {
        String reservationId = spec.reservationId().orElseThrow();
        long tokens = spec.promptTokens();
        SegmentAnswer answer =
                new SegmentAnswer(context, tokens, () -> mScheduler.export(reservationId, tokens));
        context.response().closeHandler(() -> mScheduler.abandon(answer));
        mScheduler.submit(now(), spec, answer).ifPresent(answer::refused);
    }

    private void exportKv(RoutingContext context) {
        String handle = context.pathParam("handle");
        mScheduler
                .exportedTokens(handle)
                .ifPresentOrElse(
                        t -> Json.send(context, 200, new SegmentDocument(handle, t)),
                        () -> context.response().setStatusCode(404).endAndForget());
    }

    private void sendCacheEvents(RoutingContext context) {
        String after = context.request().getParam("after");
        long sequence = after == null ? 0 : Long.parseLong(after);
        Json.send(context, 200, mScheduler.cacheEvents(now(), sequence));
    }

    private static void refuse(RoutingContext context, String reason) {
        Json.send(context, CONFLICT, new RefusalDocument(reason));
    }

    private boolean checksFencing() {
        return mSettings.checkFencing() && !faults().ignoreFencing();
    }

    private LoadDocument publishedLoad() {
        return mLoadHistory.read(now());
    }

    private EngineStateDocument state() {
        return new EngineStateDocument(
                mOrders.models(),
                mOrders.role(),
                mOrders.highestToken(),
                mSettings.memoryTokens(),
                mScheduler.reservations(now()),
                mScheduler.sessions(now()),
                publishedLoad());
    }
}
