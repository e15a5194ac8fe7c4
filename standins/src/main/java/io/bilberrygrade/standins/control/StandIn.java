package io.bilberrygrade.standins.control;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;

/**
 * Stand-in with a service port and a control port, which share one event loop so that its state
 * needs no locks.
 *
 * @param <F> the stand-in's fault switches
 */
public abstract class StandIn<F extends Faults> extends AbstractVerticle {
    private static final long MAX_BODY_BYTES = 64L << 20;
    private static final String FREEZE = "freezeMillis";

    private final Address mAddress;
    private final Class<F> mFaultType;
    private F mFaults;
    private Instant mFrozenUntil = Instant.EPOCH;
    private HttpServer mServer;
    private HttpServer mControl;
    private Runnable mOnDeath = this::closeAndForget;

    /** Creates a stand-in that is not started yet. */
    protected StandIn(Address address, Class<F> faultType, F faults) {
        mAddress = address;
        mFaultType = faultType;
        mFaults = faults;
    }

    /** Starts a stand-in and returns it once both ports listen. */
    protected static <S extends StandIn<?>> Uni<S> deploy(Vertx vertx, S standIn) {
        return vertx.deployVerticle(standIn).replaceWith(standIn);
    }

    /** Adds the calls of the service port. */
    protected abstract void addCalls(Router router);

    /** Adds further calls of the control port. */
    protected void addControls(Router router) {}

    /** Reacts to changed fault switches. */
    protected void onFaults(F faults) {}

    /** Prepares the stand-in before its ports listen. */
    protected void onStart() {}

    @Override
    public Uni<Void> asyncStart() {
        onStart();
        Router calls = Router.router(vertx);
        calls.route().handler(this::applyFaults);
        readBodies(calls);
        addCalls(calls);
        Router controls = Router.router(vertx);
        readBodies(controls);
        controls.get("/health").handler(c -> c.response().endAndForget("ok"));
        controls.get("/faults").handler(c -> Json.send(c, 200, mFaults));
        controls.post("/faults").handler(this::changeFaults);
        addControls(controls);
        failOnBadInput(calls);
        failOnBadInput(controls);
        mServer = server(mAddress.port(), calls);
        mControl = server(mAddress.controlPort(), controls);
        return mServer.listen().chain(() -> mControl.listen()).replaceWithVoid();
    }

    /** Reads bodies as bytes whatever their type, as some clients call every body a form. */
    private static void readBodies(Router router) {
        router.route()
                .handler(
                        c -> {
                            c.request().headers().remove("Content-Type");
                            c.next();
                        });
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    }

    private HttpServer server(int port, Router router) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHost(mAddress.host())
                        .setPort(port)
                        .setMaxHeaderSize(1 << 20)
                        .setCompressionSupported(false);
        return vertx.createHttpServer(options).requestHandler(router::handle);
    }

    private static void failOnBadInput(Router router) {
        router.route()
                .failureHandler(
                        c -> {
                            Throwable cause = c.failure();
                            boolean bad =
                                    cause instanceof UncheckedIOException
                                            || cause instanceof IllegalArgumentException;
                            int status = bad ? 400 : c.statusCode() < 400 ? 500 : c.statusCode();
                            c.response().setStatusCode(status).endAndForget(String.valueOf(cause));
                        });
    }

    private void changeFaults(RoutingContext context) {
        byte[] body = Json.body(context);
        mFaults = Json.merge(mFaults, body, mFaultType);
        if (Json.names(body, FREEZE)) {
            mFrozenUntil = now().plusMillis(mFaults.freezeMillis());
        }
        Json.send(context, 200, mFaults);
        onFaults(mFaults);
        if (mFaults.dieNow()) {
            die();
        }
    }

    private void applyFaults(RoutingContext context) {
        if (mFaults.down()) {
            context.request().connection().closeAndForget();
            return;
        }
        long frozen = Duration.between(now(), mFrozenUntil).toMillis();
        long delay = Math.max(frozen, 0) + mFaults.slowMillis();
        if (delay <= 0) {
            context.next();
            return;
        }
        context.request().pause();
        vertx.setTimer(
                delay,
                id -> {
                    context.request().resume();
                    context.next();
                });
    }

    /** Returns the present fault switches. */
    protected F faults() {
        return mFaults;
    }

    /** Replaces the fault switches, for switches that act once. */
    protected void setFaults(F faults) {
        mFaults = faults;
    }

    /** Returns whether the stand-in answers nothing at present. */
    protected boolean isFrozen() {
        return now().isBefore(mFrozenUntil);
    }

    /** Returns the present time. */
    protected Instant now() {
        return Instant.now();
    }

    /** Ends the stand-in at once. */
    protected void die() {
        mOnDeath.run();
    }

    /** Sets what the end of the stand-in does, by default closing its ports. */
    public void onDeath(Runnable action) {
        mOnDeath = action;
    }

    /** Returns the host it listens on. */
    public String host() {
        return mAddress.host();
    }

    /** Returns the port of its service. */
    public int port() {
        return mServer.actualPort();
    }

    /** Returns the port of its control calls. */
    public int controlPort() {
        return mControl.actualPort();
    }

    /** Closes both ports and every connection. */
    public Uni<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    private void closeAndForget() {
        vertx.undeployAndForget(deploymentID());
    }
}
