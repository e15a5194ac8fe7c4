package io.bilberrygrade.serving.platform;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/** Reads the list of instances over HTTP. */
public final class HttpInstanceListSource implements InstanceListSource {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpCalls mCalls;
    private final Address mService;

    /** Creates a source that reads from the service at the given address. */
    public HttpInstanceListSource(HttpCalls calls, Address service) {
        mCalls = calls;
        mService = service;
    }

    @Override
    public Uni<InstanceListDocument> read() {
        return mCalls.to(mService, Step.MEMBERSHIP)
                .send(HttpMethod.GET, "/v1/instances", TIMEOUT)
                .map(a -> a.as(InstanceListDocument.class));
    }
}
