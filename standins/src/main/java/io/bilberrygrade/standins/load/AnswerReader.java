package io.bilberrygrade.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.engine.TokenText;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.parsetools.RecordParser;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads one answer, streamed or not, and compares its tokens with the expected ones. */
final class AnswerReader {
    private static final int HTTP_OK = 200;
    private static final String DATA = "data: ";

    private final CallerRequest mRequest;
    private final Consumer<CallerResult> mOnResult;
    private final long mStartNanos = System.nanoTime();
    private final StringBuilder mText = new StringBuilder();
    private Optional<Duration> mFirstToken = Optional.empty();
    private boolean mCompleted;
    private boolean mHasStopReason;

    AnswerReader(CallerRequest request, Consumer<CallerResult> onResult) {
        mRequest = request;
        mOnResult = onResult;
    }

    void onConnectFailure(Throwable e) {
        complete(CallerOutcome.NOT_RUN, "not-connected", Optional.empty());
    }

    void onConnectionLost(Throwable e) {
        complete(CallerOutcome.UNKNOWN, "connection-lost", Optional.empty());
    }

    void read(HttpClientResponse response) {
        String type = response.getHeader("Content-Type");
        if (response.statusCode() == HTTP_OK && type != null && type.startsWith("text/event")) {
            RecordParser lines = RecordParser.newDelimited("\n", response);
            lines.exceptionHandler(this::onConnectionLost);
            lines.handler(this::onLine);
            lines.endHandler(v -> onConnectionLost(null));
            return;
        }
        response.body()
                .onFailure(this::onConnectionLost)
                .onSuccess(b -> onBody(response.statusCode(), b));
    }

    private void onLine(Buffer line) {
        String text = line.toString();
        if (!text.startsWith(DATA)) {
            return;
        }
        String data = text.substring(DATA.length());
        if (data.equals("[DONE]")) {
            complete(
                    mHasStopReason ? CallerOutcome.DONE : CallerOutcome.UNKNOWN,
                    "",
                    Optional.empty());
            return;
        }
        JsonNode node = parse(data);
        if (node.has("error")) {
            onError(node.get("error"));
            return;
        }
        JsonNode choice = node.path("choices").path(0);
        mHasStopReason = choice.path("finish_reason").asText("").equals("stop");
        onText(choice.path("text").asText());
    }

    private void onText(String text) {
        if (text.isEmpty()) {
            return;
        }
        if (mFirstToken.isEmpty()) {
            mFirstToken = Optional.of(elapsed());
        }
        mText.append(text);
    }

    private void onBody(int status, Buffer body) {
        JsonNode node = parse(body.toString());
        if (node.has("error") && node.get("error").has("outcome")) {
            onError(node.get("error"));
        } else {
            CallerOutcome outcome = status == HTTP_OK ? CallerOutcome.DONE : CallerOutcome.UNKNOWN;
            complete(outcome, status == HTTP_OK ? "" : "status-" + status, Optional.empty());
        }
    }

    private void onError(JsonNode error) {
        CallerOutcome outcome =
                error.path("outcome").asText().equals("not-run")
                        ? CallerOutcome.NOT_RUN
                        : CallerOutcome.UNKNOWN;
        Optional<Duration> retryAfter =
                Optional.ofNullable(error.get("retry_after_ms"))
                        .map(n -> Duration.ofMillis(n.asLong()));
        complete(outcome, error.path("reason").asText(), retryAfter);
    }

    private void complete(CallerOutcome outcome, String reason, Optional<Duration> retryAfter) {
        if (mCompleted) {
            return;
        }
        mCompleted = true;
        mOnResult.accept(
                new CallerResult(
                        outcome,
                        reason,
                        mFirstToken,
                        elapsed(),
                        mText.length() / TokenText.TOKEN_CHARS,
                        isCorrect(outcome),
                        retryAfter));
    }

    private boolean isCorrect(CallerOutcome outcome) {
        return switch (mRequest) {
            case CallerRequest.ServiceCall s -> true;
            case CallerRequest.Completion c -> {
                int tokens = mText.length() / TokenText.TOKEN_CHARS;
                String expected = TokenText.tokens(TokenText.seed(c.prompt()), 0, tokens);
                boolean hasExpectedLength =
                        outcome != CallerOutcome.DONE || tokens == c.maxTokens();
                yield hasExpectedLength && expected.contentEquals(mText);
            }
        };
    }

    private Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - mStartNanos);
    }

    private static JsonNode parse(String json) {
        try {
            return Mappers.JSON.readTree(json);
        } catch (JsonProcessingException e) {
            return Mappers.JSON.createObjectNode();
        }
    }
}
