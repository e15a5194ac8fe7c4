package io.bilberrygrade.standins.engine;

import io.bilberrygrade.standins.control.Address;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the engine. Memory, cache and chunks are counted in tokens, {@code prefillRate} in
 * tokens a second; {@code loadTime} is the time to load a model.
 */
public record EngineSettings(
        Address address,
        long memoryTokens,
        long prefillRate,
        Duration decodeInterval,
        int chunkTokens,
        int slots,
        long cacheTokens,
        int queueBound,
        List<String> models,
        Duration loadLag,
        Duration loadTime,
        boolean checkFencing,
        Optional<URI> weights) {
    /** Returns the defaults on free ports for one model. */
    public static EngineSettings defaults(String model) {
        return new EngineSettings(
                Address.free(),
                400_000,
                40_000,
                Duration.ofMillis(20),
                4_096,
                32,
                200_000,
                256,
                List.of(model),
                Duration.ofMillis(200),
                Duration.ofMillis(200),
                true,
                Optional.empty());
    }
}
