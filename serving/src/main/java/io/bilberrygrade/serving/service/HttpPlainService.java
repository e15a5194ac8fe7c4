package io.bilberrygrade.serving.service;

import com.google.common.net.UrlEscapers;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.wire.EndpointHeaders;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;

/** Calls plain services over HTTP. */
public final class HttpPlainService implements PlainService {
    private final HttpCalls mCalls;

    /** Creates the client. */
    public HttpPlainService(HttpCalls calls) {
        mCalls = calls;
    }

    @Override
    public Uni<ServiceAnswer> call(Endpoint endpoint, ServiceCall call) {
        String path = "/call/" + UrlEscapers.urlPathSegmentEscaper().escape(call.operation());
        return mCalls.to(endpoint.address(), Step.DISPATCH)
                .header(EndpointHeaders.REQUEST_ID, call.id().value())
                .header(EndpointHeaders.IDEMPOTENCY_KEY, call.idempotencyKey().orElse(""))
                .header(EndpointHeaders.DEADLINE_MILLIS, Long.toString(call.remaining().toMillis()))
                .header("Content-Type", "application/json")
                .acceptAnyStatus()
                .sendBuffer(HttpMethod.POST, path, call.body(), call.remaining())
                .map(a -> new ServiceAnswer(a.status(), a.contentType(), a.body()));
    }
}
