package io.bilberrygrade.serving.platform;

import com.google.common.net.UrlEscapers;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.http.HttpAnswer;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/** Reads the published configuration over HTTP. */
public final class HttpConfigSource implements ConfigSource {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpCalls mCalls;
    private final Address mService;

    /** Creates a source that reads from the service at the given address. */
    public HttpConfigSource(HttpCalls calls, Address service) {
        mCalls = calls;
        mService = service;
    }

    @Override
    public Uni<ManifestDocument> watch(long after, Duration wait) {
        String path = "/v1/manifest?after=" + after + "&waitMs=" + wait.toMillis();
        return mCalls.to(mService, Step.CONFIGURATION)
                .send(HttpMethod.GET, path, wait.plus(TIMEOUT))
                .map(a -> a.as(ManifestDocument.class));
    }

    @Override
    public Uni<Buffer> read(PartReference part) {
        String path = "/v1/parts/" + UrlEscapers.urlPathSegmentEscaper().escape(part.key());
        return mCalls.to(mService, Step.CONFIGURATION)
                .send(HttpMethod.GET, path, TIMEOUT)
                .map(HttpAnswer::body);
    }
}
