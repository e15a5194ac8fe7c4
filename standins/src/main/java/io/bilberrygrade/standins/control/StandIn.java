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
 * Base of the stand-ins, with a service port and a control port. Both run on one event loop, so
 * that the state needs no locks.
 *
 * @param <F> the stand-in's fault switches
 */
public abstract class StandIn<F extends Faults> extends AbstractVerticle {
    private static final long MAX_BODY_BYTES = 64L << 20;
    private static final String FREEZE_FIELD = "freezeMillis";

    private final Address mAddress;
    private final Class<F> mFaultType;
    private F mFaults;
    private Instant mFrozenUntil = Instant.EPOCH;
    private HttpServer mServer;
    private HttpServer mControl;
    private Runnable mOnDeath = this::closeAndForget;

    /** Creates a stand-in without starting it. */
    protected StandIn(Address address, Class<F> faultType, F faults) {
        mAddress = address;
        mFaultType = faultType;
        mFaults = faults;
    }

    /** Starts a stand-in and returns it when both ports listen. */
    protected static <S extends StandIn<?>> Uni<S> deploy(Vertx vertx, S standIn) {
        return vertx.deployVerticle(standIn).replaceWith(standIn);
    }

    /** Adds the routes of the service port. */
    protected abstract void addCalls(Router router);

    /** Adds further routes of the control port. */
    protected void addControls(Router router) {}

    /** Called when fault switches have changed. */
    protected void onFaults(F faults) {}

    /** Called before the ports listen. */
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
        handleFailures(calls);
        handleFailures(controls);
        mServer = server(mAddress.port(), calls);
        mControl = server(mAddress.controlPort(), controls);
        return mServer.listen().chain(() -> mControl.listen()).replaceWithVoid();
    }

    /**
     * Reads bodies as bytes regardless of their content type, since some clients declare every body
     * a form.
     */
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

    private static void handleFailures(Router router) {
        router.route()
                .failureHandler(
                        c -> {
                            Throwable cause = c.failure();
                            boolean isBadInput =
                                    cause instanceof UncheckedIOException
                                            || cause instanceof IllegalArgumentException;
                            int status =
                                    isBadInput ? 400 : c.statusCode() < 400 ? 500 : c.statusCode();
                            c.response().setStatusCode(status).endAndForget(String.valueOf(cause));
                        });
    }

    private void changeFaults(RoutingContext context) {
        byte[] body = Json.body(context);
        mFaults = Json.merge(mFaults, body, mFaultType);
        if (Json.hasField(body, FREEZE_FIELD)) {
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
        long frozenMillis = Duration.between(now(), mFrozenUntil).toMillis();
        long delayMillis = Math.max(frozenMillis, 0) + mFaults.slowMillis();
        if (delayMillis <= 0) {
            context.next();
            return;
        }
        context.request().pause();
        vertx.setTimer(
                delayMillis,
                id -> {
                    context.request().resume();
                    context.next();
                });
    }

    /** Returns the current fault switches. */
    protected F faults() {
        return mFaults;
    }

    /** Replaces the fault switches; used to reset a switch that acts once. */
    protected void setFaults(F faults) {
        mFaults = faults;
    }

    /** Returns whether the stand-in is frozen and answers no calls. */
    protected boolean isFrozen() {
        return now().isBefore(mFrozenUntil);
    }

    /** Returns the current time. */
    protected Instant now() {
        return Instant.now();
    }

    /** Terminates the stand-in immediately. */
    protected void die() {
        mOnDeath.run();
    }

    /** Sets the action that terminates the stand-in; by default it closes both ports. */
    public void onDeath(Runnable action) {
        mOnDeath = action;
    }

    /** Returns the host of both ports. */
    public String host() {
        return mAddress.host();
    }

    /** Returns the service port. */
    public int port() {
        return mServer.actualPort();
    }

    /** Returns the control port. */
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
