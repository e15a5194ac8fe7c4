package io.bilberrygrade.standins.load.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.TeamId;
import io.bilberrygrade.standins.load.CallerClient;
import io.bilberrygrade.standins.load.CallerOutcome;
import io.bilberrygrade.standins.load.CallerRequest;
import io.bilberrygrade.standins.load.CallerResult;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Sends arrivals at their scheduled times, independently of earlier ones (open loop). A refused
 * connection is retried at the next entry daemon, as the platform's load balancer does; other
 * failures aren't retried.
 */
final class CellRun implements AutoCloseable {
    private static final String NOT_CONNECTED = "not-connected";
    private static final int SENDER_THREADS = 4;

    private final Vertx mVertx = Vertx.vertx();
    private final ExecutorService mSenders = Executors.newFixedThreadPool(SENDER_THREADS);
    private final PromptPool mPrompts = new PromptPool();
    private final CellSettings mSettings;
    private final ImmutableMap<TeamId, CallerClient> mClients;

    CellRun(CellSettings settings) {
        mSettings = settings;
        mClients =
                Workload.teams().stream()
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        Function.identity(),
                                        t -> new CallerClient(mVertx, t + "-secret")));
    }

    /** Sends all arrivals and waits for every answer. */
    ImmutableList<Sample> run(ImmutableList<Arrival> arrivals) {
        long start = System.nanoTime();
        ImmutableList<CompletableFuture<Sample>> samples =
                arrivals.stream()
                        .map(a -> schedule(a, start + a.at().toNanos()))
                        .collect(ImmutableList.toImmutableList());
        return samples.stream()
                .map(CompletableFuture::join)
                .collect(ImmutableList.toImmutableList());
    }

    private CompletableFuture<Sample> schedule(Arrival arrival, long dueNanos) {
        Executor due =
                CompletableFuture.delayedExecutor(
                        dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS, mSenders);
        return CompletableFuture.runAsync(() -> {}, due).thenCompose(v -> send(arrival, dueNanos));
    }

    private CompletableFuture<Sample> send(Arrival arrival, long dueNanos) {
        CallerRequest request =
                new CallerRequest.Completion(
                        arrival.workClass().value(),
                        arrival.timeout(),
                        mSettings.model(),
                        mPrompts.prompt(arrival),
                        arrival.answerTokens(),
                        arrival.worth());
        return attempt(arrival, request, dueNanos, 0).subscribeAsCompletionStage();
    }

    private Uni<Sample> attempt(
            Arrival arrival, CallerRequest request, long dueNanos, int previousAttempts) {
        int entries = mSettings.entries().size();
        Address entry = mSettings.entries().get((arrival.index() + previousAttempts) % entries);
        long sentNanos = System.nanoTime();
        return mClients.get(arrival.team())
                .send(entry, request)
                .onItem()
                .transformToUni(
                        r ->
                                isConnectionRefused(r) && previousAttempts + 1 < entries
                                        ? attempt(arrival, request, dueNanos, previousAttempts + 1)
                                        : Uni.createFrom()
                                                .item(sample(arrival, r, sentNanos - dueNanos)));
    }

    private static Sample sample(Arrival arrival, CallerResult result, long delayNanos) {
        return new Sample(arrival, result, Duration.ofNanos(Math.max(delayNanos, 0)));
    }

    private static boolean isConnectionRefused(CallerResult result) {
        return result.outcome() == CallerOutcome.NOT_RUN && result.reason().equals(NOT_CONNECTED);
    }

    @Override
    public void close() {
        mSenders.shutdownNow();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
