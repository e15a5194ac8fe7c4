package io.bilberrygrade.standins.load.control;

import io.bilberrygrade.standins.configservice.StandInConfigService;
import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.engine.StandInEngine;
import io.bilberrygrade.standins.instances.StandInInstanceList;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.time.Duration;

/** Runs the platform's stand-ins and all endpoints of a fleet in one process. */
final class StandInFleet {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private StandInFleet() {}

    /** Starts all stand-ins and returns once they listen. */
    static void start(FleetLayout layout) throws IOException {
        layout.write();
        Vertx vertx = Vertx.vertx();
        for (int i = 0; i < layout.endpoints(); i++) {
            StandInEngine.start(vertx, engine(layout, i)).await().atMost(START_TIMEOUT);
        }
        StandInInstanceList.start(
                        vertx,
                        new Address(layout.host(), FleetLayout.INSTANCES_PORT, 0),
                        layout.instances(),
                        Duration.ZERO)
                .await()
                .atMost(START_TIMEOUT);
        StandInConfigService.start(
                        vertx,
                        new Address(
                                layout.host(),
                                FleetLayout.CONFIG_PORT,
                                FleetLayout.CONFIG_CONTROL_PORT),
                        layout.configuration())
                .await()
                .atMost(START_TIMEOUT);
    }

    private static EngineSettings engine(FleetLayout layout, int index) {
        EngineSettings d = EngineSettings.defaults(FleetLayout.MODEL);
        return new EngineSettings(
                new Address(layout.host(), layout.endpointPort(index), 0),
                d.memoryTokens(),
                d.prefillRate(),
                d.decodeInterval(),
                d.chunkTokens(),
                d.slots(),
                d.cacheTokens(),
                d.queueBound(),
                d.models(),
                d.loadLag(),
                d.loadTime(),
                d.checkFencing(),
                d.weights());
    }
}
