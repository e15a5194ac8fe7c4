package io.bilberrygrade.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP calls to the loopback interface with a timeout. */
public final class LoopbackHttp {
    /** Timeout of each call and of each wait in tests. */
    public static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private LoopbackHttp() {}

    /** Sends a call and waits for its complete answer. */
    public static HttpResponse<String> send(
            String method, int port, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest request = request(method, port, path, body, headers);
        return CLIENT.send(request, BodyHandlers.ofString());
    }

    /** Sends a call and returns a future of its answer. */
    public static CompletableFuture<HttpResponse<String>> sendAsync(
            String method, int port, String path, String body, String... headers) {
        HttpRequest request = request(method, port, path, body, headers);
        return CLIENT.sendAsync(request, BodyHandlers.ofString());
    }

    private static HttpRequest request(
            String method, int port, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(CALL_TIMEOUT)
                        .version(HttpClient.Version.HTTP_1_1)
                        .method(method, BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return request.build();
    }
}
