package io.bilberrygrade.standins.instances;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.control.Json;
import io.bilberrygrade.standins.control.StandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** Stand-in list of instances whose changes become visible after a lag. */
public final class StandInInstanceList extends StandIn<InstanceListFaults> {
    private static final YAMLMapper YAML = new YAMLMapper();

    private final Path mFile;
    private InstanceListDocument mVisible = new InstanceListDocument(0, List.of());
    private long mVersion;

    private StandInInstanceList(Address address, Path file, Duration lag) {
        super(address, InstanceListFaults.class, InstanceListFaults.none(lag.toMillis()));
        mFile = file;
    }

    /** Starts a list from a YAML or JSON file that holds an {@link InstanceListDocument}. */
    public static Uni<StandInInstanceList> start(
            Vertx vertx, Address address, Path file, Duration lag) {
        return deploy(vertx, new StandInInstanceList(address, file, lag));
    }

    @Override
    protected void onStart() {
        byte[] bytes = vertx.fileSystem().readFileBlocking(mFile.toString()).getBytes();
        mVisible = parse(bytes);
        mVersion = mVisible.version();
    }

    private static InstanceListDocument parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        try {
            return YAML.readValue(text, InstanceListDocument.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    protected void addCalls(Router router) {
        router.get("/v1/instances").handler(c -> Json.send(c, 200, mVisible));
    }

    @Override
    protected void addControls(Router router) {
        router.put("/instances").handler(this::replace);
    }

    /** Replaces the list and raises its version above every earlier one. */
    private void replace(RoutingContext context) {
        InstanceListDocument received = parse(Json.body(context));
        mVersion = Math.max(mVersion + 1, received.version());
        InstanceListDocument list = new InstanceListDocument(mVersion, received.instances());
        vertx.setTimer(Math.max(faults().lagMillis(), 1), id -> makeVisible(list));
        Json.send(context, 200, list);
    }

    private void makeVisible(InstanceListDocument list) {
        if (list.version() > mVisible.version()) {
            mVisible = list;
        }
    }
}
