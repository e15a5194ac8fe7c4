package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.serving.metrics.PrometheusPage;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.BooleanSupplier;

/** Serves the readiness probe and the metrics. */
final class ReadinessServer {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpServer mServer;
    private final BooleanSupplier mReady;
    private final PrometheusPage mMetrics;

    ReadinessServer(
            Vertx vertx, String readinessPath, BooleanSupplier ready, PrometheusPage metrics) {
        mReady = ready;
        mMetrics = metrics;
        Router router = Router.router(vertx);
        router.get(readinessPath).handler(this::readiness);
        router.get("/metrics").handler(this::metrics);
        mServer = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        mServer.requestHandler(router);
    }

    Uni<Void> listen(Address address) {
        return HttpListeners.listen(address, mServer);
    }

    private void readiness(RoutingContext call) {
        call.response().setStatusCode(mReady.getAsBoolean() ? OK : UNAVAILABLE).end();
    }

    private void metrics(RoutingContext call) {
        call.response().putHeader("Content-Type", PrometheusPage.CONTENT_TYPE).end(mMetrics.text());
    }
}
