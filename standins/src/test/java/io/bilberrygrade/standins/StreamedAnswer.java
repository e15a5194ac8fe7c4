package io.bilberrygrade.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.standins.engine.TokenText;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Iterator;
import java.util.stream.Stream;

/** Streamed answer of a completion call, read incrementally. */
public final class StreamedAnswer implements AutoCloseable {
    private static final String DATA = "data: ";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final String mPrompt;
    private final Stream<String> mLines;
    private final Iterator<String> mLineIterator;
    private final StringBuilder mText = new StringBuilder();
    private boolean mComplete;
    private String mErrorReason = "";

    private StreamedAnswer(String prompt, HttpRequest request)
            throws IOException, InterruptedException {
        mPrompt = prompt;
        HttpResponse<Stream<String>> response = mClient.send(request, BodyHandlers.ofLines());
        mLines = response.body();
        mLineIterator = mLines.iterator();
    }

    /** Sends a completion call to an entry daemon on the loopback interface. */
    public static StreamedAnswer open(
            String host, int port, String prompt, int maxTokens, Duration timeout)
            throws IOException, InterruptedException {
        String body =
                "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens + ",\"stream\":true}";
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + host + ":" + port + "/v1/completions"))
                        .version(HttpClient.Version.HTTP_1_1)
                        .header("Authorization", "Bearer test-secret")
                        .header("X-Work-Class", "short")
                        .header("X-Timeout-Ms", Long.toString(timeout.toMillis()))
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return new StreamedAnswer(prompt, request);
    }

    /** Reads until the answer has at least the given number of tokens or has ended. */
    public StreamedAnswer readTokens(int count) throws IOException {
        while (tokens() < count && mLineIterator.hasNext()) {
            onLine(mLineIterator.next());
        }
        return this;
    }

    /** Reads to the end. */
    public StreamedAnswer readAll() throws IOException {
        return readTokens(Integer.MAX_VALUE);
    }

    private void onLine(String line) throws IOException {
        if (line.equals(DATA + "[DONE]")) {
            mComplete = true;
        } else if (line.startsWith(DATA)) {
            JsonNode node = Mappers.JSON.readTree(line.substring(DATA.length()));
            mText.append(node.path("choices").path(0).path("text").asText());
            mErrorReason = node.path("error").path("reason").asText(mErrorReason);
        } else if (line.startsWith("{")) {
            mErrorReason = Mappers.JSON.readTree(line).path("error").path("reason").asText();
        }
    }

    /** Returns the number of tokens read. */
    public int tokens() {
        return mText.length() / TokenText.TOKEN_CHARS;
    }

    /** Returns whether all tokens read so far equal the expected ones. */
    public boolean isCorrect() {
        return TokenText.tokens(TokenText.seed(mPrompt), 0, tokens()).contentEquals(mText);
    }

    /** Returns whether the answer ended with {@code [DONE]}. */
    public boolean isComplete() {
        return mComplete;
    }

    /** Returns the reason of the error that ended the answer, or an empty string. */
    public String reason() {
        return mErrorReason;
    }

    @Override
    public void close() {
        mLines.close();
        mClient.shutdownNow();
    }
}
