package io.bilberrygrade.serving.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.smallrye.mutiny.Uni;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.time.Duration;

/** HTTP call whose answer is fully buffered. */
public final class HttpCall {
    private static final int HTTP_OK = 200;
    private static final int HTTP_REDIRECT = 300;
    private static final int HTTP_CONFLICT = 409;

    private static final int HEADER_EXTRA_BYTES = 4;

    private final WebClient mClient;
    private final Address mPeer;
    private final Step mStep;
    private final ControlTraffic mTraffic;
    private final MultiMap mHeaders = MultiMap.caseInsensitiveMultiMap();
    private int mAcceptedStatus = HTTP_OK;
    private boolean mAcceptsAnyStatus;

    HttpCall(WebClient client, Address peer, Step step, ControlTraffic traffic) {
        mClient = client;
        mPeer = peer;
        mStep = step;
        mTraffic = traffic;
    }

    /** Adds a header, unless the value is empty. */
    public HttpCall header(String name, String value) {
        if (!value.isEmpty()) {
            mHeaders.set(name, value);
        }
        return this;
    }

    /** Accepts the given status as an answer, in addition to the successful ones. */
    public HttpCall acceptStatus(int status) {
        mAcceptedStatus = status;
        return this;
    }

    /** Accepts every status as an answer, except a refusal. */
    public HttpCall acceptAnyStatus() {
        mAcceptsAnyStatus = true;
        return this;
    }

    /** Sends the call without a body. */
    public Uni<HttpAnswer> send(HttpMethod method, String path, Duration timeout) {
        return sendBuffer(method, path, Buffer.buffer(), timeout);
    }

    /** Sends a value as JSON. */
    public Uni<HttpAnswer> sendJson(
            HttpMethod method, String path, Object value, Duration timeout) {
        try {
            Buffer body = Buffer.buffer(Mappers.JSON.writeValueAsBytes(value));
            return header("Content-Type", "application/json")
                    .sendBuffer(method, path, body, timeout);
        } catch (JsonProcessingException e) {
            return Uni.createFrom().failure(failure(Delivery.NOT_DELIVERED, e));
        }
    }

    /** Sends the call with a body. Fails with a {@link CallException}. */
    public Uni<HttpAnswer> sendBuffer(
            HttpMethod method, String path, Buffer body, Duration timeout) {
        if (!timeout.isPositive()) {
            return Uni.createFrom()
                    .failure(
                            new CallException(
                                    mStep, mPeer.toString(), Delivery.NOT_DELIVERED, "timed out"));
        }
        try {
            return sendChecked(method, path, body, timeout);
        } catch (RuntimeException e) {
            return Uni.createFrom().failure(failure(Delivery.NOT_DELIVERED, e));
        }
    }

    private Uni<HttpAnswer> sendChecked(
            HttpMethod method, String path, Buffer body, Duration timeout) {
        HttpRequest<io.vertx.mutiny.core.buffer.Buffer> request =
                mClient.request(method, mPeer.port(), mPeer.host(), path)
                        .timeout(timeout.toMillis());
        mHeaders.forEach(h -> request.putHeader(h.getKey(), h.getValue()));
        mTraffic.sent(mStep, path.length() + headerBytes(mHeaders) + body.length());
        return request.sendBuffer(io.vertx.mutiny.core.buffer.Buffer.newInstance(body))
                .onFailure()
                .transform(e -> failure(delivery(e), e))
                .onItem()
                .transformToUni(this::check);
    }

    private Uni<HttpAnswer> check(HttpResponse<io.vertx.mutiny.core.buffer.Buffer> response) {
        int status = response.statusCode();
        int bodyBytes = response.body() == null ? 0 : response.body().length();
        mTraffic.received(mStep, headerBytes(response.headers().getDelegate()) + bodyBytes);
        boolean successful = status >= HTTP_OK && status < HTTP_REDIRECT;
        boolean refused = status == HTTP_CONFLICT && mAcceptedStatus != HTTP_CONFLICT;
        if (successful || status == mAcceptedStatus || (mAcceptsAnyStatus && !refused)) {
            return Uni.createFrom().item(HttpAnswer.of(response));
        }
        if (refused) {
            String reason = HttpAnswer.of(response).refusal();
            return Uni.createFrom().failure(CallException.refused(mStep, mPeer.toString(), reason));
        }
        String message = "status " + status + " " + response.bodyAsString();
        return Uni.createFrom()
                .failure(
                        new CallException(mStep, mPeer.toString(), Delivery.MAY_HAVE_RUN, message));
    }

    private static long headerBytes(MultiMap headers) {
        return headers.entries().stream()
                .mapToLong(h -> h.getKey().length() + h.getValue().length() + HEADER_EXTRA_BYTES)
                .sum();
    }

    private CallException failure(Delivery delivery, Throwable cause) {
        return new CallException(mStep, mPeer.toString(), delivery, cause.toString(), cause);
    }

    /** Returns whether a call that failed in transport can have had an effect. */
    public static Delivery delivery(Throwable failure) {
        return failure instanceof ConnectException ? Delivery.NOT_DELIVERED : Delivery.MAY_HAVE_RUN;
    }
}
