package io.bilberrygrade.standins.configservice;

import com.google.common.io.Files;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.control.Json;
import io.bilberrygrade.standins.control.StandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.File;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stand-in configuration service with reads and watches; parts are published through its control
 * port.
 */
public final class StandInConfigService extends StandIn<ConfigFaults> {
    private static final int MAX_PART_BYTES = 1 << 20;
    private static final long FROZEN_RETRY_MILLIS = 10;

    private final Path mDirectory;
    private final PartHistory mHistory = new PartHistory();
    private final Map<Long, Runnable> mWatches = new LinkedHashMap<>();
    private long mManifestCalls;
    private long mPartCalls;

    private StandInConfigService(Address address, Path directory) {
        super(address, ConfigFaults.class, ConfigFaults.none());
        mDirectory = directory;
    }

    /** Starts a service with the files of a directory as the parts of version 1. */
    public static Uni<StandInConfigService> start(Vertx vertx, Address address, Path directory) {
        return deploy(vertx, new StandInConfigService(address, directory));
    }

    @Override
    protected void onStart() {
        Map<String, Buffer> parts = new TreeMap<>();
        for (String name : vertx.fileSystem().readDirBlocking(mDirectory.toString())) {
            if (new File(name).isFile()) {
                parts.put(
                        Files.getNameWithoutExtension(name),
                        vertx.fileSystem().readFileBlocking(name));
            }
        }
        mHistory.publish(parts);
    }

    @Override
    protected void addCalls(Router router) {
        router.get("/v1/manifest").handler(this::watchManifest);
        router.get("/v1/parts/:key").handler(this::sendPart);
    }

    @Override
    protected void addControls(Router router) {
        router.put("/parts/:key").handler(this::publish);
        router.get("/calls")
                .handler(c -> Json.send(c, 200, new CallCounts(mManifestCalls, mPartCalls)));
    }

    @Override
    protected void onFaults(ConfigFaults faults) {
        notifyWatches();
    }

    private void notifyWatches() {
        List.copyOf(mWatches.values()).forEach(Runnable::run);
    }

    private long visibleVersion() {
        long stale = faults().staleVersion();
        return stale > 0 ? Math.min(stale, mHistory.version()) : mHistory.version();
    }

    private void watchManifest(RoutingContext context) {
        mManifestCalls++;
        long after = number(context, "after").orElse(0L);
        long waitMillis = number(context, "waitMs").orElse(0L);
        if (waitMillis <= 0 || visibleVersion() > after) {
            sendManifest(context);
            return;
        }
        long timer = vertx.setTimer(waitMillis, id -> completeWatch(id, context));
        mWatches.put(timer, () -> updateWatch(timer, context, after));
        context.response().closeHandler(() -> mWatches.remove(timer));
    }

    private void updateWatch(long timer, RoutingContext context, long after) {
        if (faults().down()) {
            mWatches.remove(timer);
            context.request().connection().closeAndForget();
        } else if (visibleVersion() > after) {
            completeWatch(timer, context);
        }
    }

    private void completeWatch(long timer, RoutingContext context) {
        mWatches.remove(timer);
        vertx.cancelTimer(timer);
        sendManifest(context);
    }

    private void sendManifest(RoutingContext context) {
        if (context.response().closed() || context.response().ended()) {
            return;
        }
        if (isFrozen()) {
            vertx.setTimer(FROZEN_RETRY_MILLIS, id -> sendManifest(context));
            return;
        }
        Json.send(context, 200, mHistory.manifest(visibleVersion()));
    }

    private void sendPart(RoutingContext context) {
        mPartCalls++;
        long version =
                Math.min(number(context, "version").orElse(Long.MAX_VALUE), visibleVersion());
        Optional<PartHistory.Part> part = mHistory.part(context.pathParam("key"), version);
        if (part.isEmpty()) {
            context.response().setStatusCode(404).endAndForget();
            return;
        }
        context.response()
                .putHeader("X-Version", Long.toString(part.get().version()))
                .endAndForget(part.get().bytes());
    }

    private void publish(RoutingContext context) {
        byte[] bytes = Json.body(context);
        if (bytes.length > MAX_PART_BYTES) {
            context.response().setStatusCode(413).endAndForget();
            return;
        }
        mHistory.publish(Map.of(context.pathParam("key"), Buffer.buffer(bytes)));
        notifyWatches();
        Json.send(context, 200, mHistory.manifest(mHistory.version()));
    }

    private static Optional<Long> number(RoutingContext context, String name) {
        return Optional.ofNullable(context.request().getParam(name)).map(Long::valueOf);
    }
}
