package io.bilberrygrade.serving.http;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.serving.controller.DrainController;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Health, readiness and metrics for the platform and for operators. */
public final class OperationsApi {
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;

    private final DrainController mDrain;
    private final CollectorRegistry mCollectors = new CollectorRegistry();

    /** Creates the interface over a daemon's state and metrics. */
    public OperationsApi(DrainController drain, MetricRegistry registry) {
        mDrain = drain;
        mCollectors.register(new DropwizardExports(registry));
    }

    /** Adds the routes. */
    public void mount(Router router) {
        router.get("/health").handler(c -> c.end("ok\n"));
        router.get("/ready").handler(this::ready);
        router.get("/metrics").handler(this::metrics);
    }

    private void ready(RoutingContext context) {
        boolean ready = mDrain.accepting();
        context.response()
                .setStatusCode(ready ? HTTP_OK : HTTP_UNAVAILABLE)
                .end(ready ? "ready\n" : "not ready\n");
    }

    private void metrics(RoutingContext context) {
        StringWriter out = new StringWriter();
        try {
            TextFormat.write004(out, mCollectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        context.response()
                .putHeader("Content-Type", TextFormat.CONTENT_TYPE_004)
                .end(out.toString());
    }
}
