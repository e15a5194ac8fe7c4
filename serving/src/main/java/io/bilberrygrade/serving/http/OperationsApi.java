package io.bilberrygrade.serving.http;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.metrics.PrometheusPage;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/** HTTP API for health, readiness and metrics, used by the platform and by operators. */
public final class OperationsApi {
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;

    private final DrainController mDrain;
    private final PrometheusPage mPage;

    /** Creates the API for a daemon's state and metrics. */
    public OperationsApi(DrainController drain, MetricRegistry registry) {
        mDrain = drain;
        mPage = new PrometheusPage(registry);
    }

    /** Adds the routes. */
    public void mount(Router router) {
        router.get("/health").handler(c -> c.end("ok\n"));
        router.get("/ready").handler(this::ready);
        router.get("/metrics").handler(this::metrics);
    }

    private void ready(RoutingContext context) {
        boolean ready = mDrain.isAccepting();
        context.response()
                .setStatusCode(ready ? HTTP_OK : HTTP_UNAVAILABLE)
                .end(ready ? "ready\n" : "not ready\n");
    }

    private void metrics(RoutingContext context) {
        context.response().putHeader("Content-Type", PrometheusPage.CONTENT_TYPE).end(mPage.text());
    }
}
