package io.bilberrygrade.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.service.RunCount;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Sends prompts of very different lengths and top-ups, and prints the result of each. */
public final class DemoCommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(5);
    private static final ImmutableList<Integer> PROMPT_TOKENS =
            ImmutableList.of(1_000, 30_000, 300_000, 1_000_000);
    private static final int ANSWER_TOKENS = 50;
    private static final int TOP_UPS = 5;
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;

    private final Vertx mVertx = Vertx.vertx();
    private final CallerClient mClient;
    private final DemoSettings mSettings;

    /** Creates the demo. */
    public DemoCommand(DemoSettings settings) {
        mSettings = settings;
        mClient = new CallerClient(mVertx, settings.credential());
    }

    /** Runs the demo and returns the exit code. */
    public int run() {
        ImmutableList<CallerRequest> requests = requests();
        System.out.printf(
                "%-16s %10s %-9s %-20s %10s %10s %7s%n",
                "class", "tokens", "outcome", "reason", "first ms", "total ms", "answer");
        List<CallerResult> results =
                Multi.createFrom()
                        .range(0, requests.size())
                        .onItem()
                        .transformToUniAndMerge(i -> send(i, requests.get(i)))
                        .collect()
                        .asList()
                        .await()
                        .indefinitely();
        Summary summary = summarize(results);
        System.out.println(json(summary));
        mVertx.close().toCompletionStage().toCompletableFuture().join();
        boolean succeeded =
                summary.lost() == 0
                        && summary.doubled() == 0
                        && (mSettings.allowUnknown() || summary.answered() == summary.requests());
        return succeeded ? EXIT_OK : EXIT_FAILED;
    }

    private ImmutableList<CallerRequest> requests() {
        ImmutableList.Builder<CallerRequest> requests = ImmutableList.builder();
        for (int i = 0; i < PROMPT_TOKENS.size(); i++) {
            int tokens = PROMPT_TOKENS.get(i);
            String workClass = mSettings.classes().get(Math.min(i, mSettings.classes().size() - 1));
            requests.add(
                    new CallerRequest.Completion(
                            workClass,
                            TIMEOUT,
                            mSettings.model(),
                            PromptText.of(i, tokens),
                            ANSWER_TOKENS,
                            1));
        }
        for (int i = 0; i < TOP_UPS; i++) {
            requests.add(
                    new CallerRequest.ServiceCall(
                            mSettings.classes().get(0),
                            TIMEOUT,
                            mSettings.service(),
                            mSettings.operation(),
                            Optional.empty(),
                            "{\"amount\":5}"));
        }
        return requests.build();
    }

    private Uni<CallerResult> send(int index, CallerRequest request) {
        return attempt(index, request, mSettings.entries().size());
    }

    /** Sends the request to one entry daemon, and on failure to the next ones. */
    private Uni<CallerResult> attempt(int index, CallerRequest request, int attemptsLeft) {
        Address entry = mSettings.entries().get(index % mSettings.entries().size());
        return ensureKey(entry, request)
                .onItem()
                .transformToUni(
                        keyed ->
                                mClient.send(entry, keyed)
                                        .invoke(r -> print(keyed, r))
                                        .onItem()
                                        .transformToUni(
                                                r -> retryIfNeeded(index, keyed, r, attemptsLeft)));
    }

    private Uni<CallerResult> retryIfNeeded(
            int index, CallerRequest request, CallerResult result, int attemptsLeft) {
        if (attemptsLeft == 1 || result.outcome() == CallerOutcome.DONE) {
            return Uni.createFrom().item(result);
        }
        return attempt(index + 1, forRetry(request, result), attemptsLeft - 1);
    }

    /**
     * Drops the key of a call that did not run, so that it gets a new one; one that may have run
     * keeps it.
     */
    private static CallerRequest forRetry(CallerRequest request, CallerResult result) {
        return switch (request) {
            case CallerRequest.Completion c -> c;
            case CallerRequest.ServiceCall s ->
                    result.outcome() == CallerOutcome.NOT_RUN
                            ? s.withIdempotencyKey(Optional.empty())
                            : s;
        };
    }

    private Uni<CallerRequest> ensureKey(Address entry, CallerRequest request) {
        return switch (request) {
            case CallerRequest.Completion c -> Uni.createFrom().item(c);
            case CallerRequest.ServiceCall s ->
                    s.key().isPresent()
                            ? Uni.createFrom().item(s)
                            : mClient.requestIdempotencyKey(entry).map(s::withIdempotencyKey);
        };
    }

    private static void print(CallerRequest request, CallerResult result) {
        int tokens =
                switch (request) {
                    case CallerRequest.Completion c -> c.prompt().length() / 4;
                    case CallerRequest.ServiceCall s -> 0;
                };
        System.out.printf(
                "%-16s %10d %-9s %-20s %10s %10d %7d%n",
                request.workClass(),
                tokens,
                result.outcome(),
                result.isCorrect() ? result.reason() : "WRONG TOKENS",
                result.timeToFirstToken().map(d -> Long.toString(d.toMillis())).orElse("-"),
                result.total().toMillis(),
                result.tokens());
    }

    private Summary summarize(List<CallerResult> results) {
        long answered =
                results.stream()
                        .filter(r -> r.outcome() == CallerOutcome.DONE && r.isCorrect())
                        .count();
        long late = results.stream().filter(r -> r.total().compareTo(TIMEOUT) > 0).count();
        long wrong = results.stream().filter(r -> !r.isCorrect()).count();
        return new Summary(results.size(), answered, late + wrong, countDuplicateRuns());
    }

    private long countDuplicateRuns() {
        io.vertx.mutiny.core.Vertx vertx = io.vertx.mutiny.core.Vertx.newInstance(mVertx);
        try (HttpCalls calls = new HttpCalls(vertx)) {
            return mSettings.serviceControls().stream()
                    .flatMap(a -> runs(calls, a).stream())
                    .collect(
                            Collectors.groupingBy(
                                    RunCount::key, Collectors.summingInt(RunCount::runs)))
                    .values()
                    .stream()
                    .filter(n -> n > 1)
                    .count();
        }
    }

    private static List<RunCount> runs(HttpCalls calls, Address control) {
        RunCount[] runs =
                calls.to(control, Step.DISPATCH)
                        .send(HttpMethod.GET, "/runs", CONTROL_TIMEOUT)
                        .map(a -> a.as(RunCount[].class))
                        .await()
                        .indefinitely();
        return List.of(runs);
    }

    private static String json(Object value) {
        try {
            return Mappers.JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Last line of the demo's output; {@code lost} counts answers that were late or wrong. */
    private record Summary(
            @JsonProperty("requests") long requests,
            @JsonProperty("answered") long answered,
            @JsonProperty("lost") long lost,
            @JsonProperty("doubled") long doubled) {}
}
