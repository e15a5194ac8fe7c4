package io.bilberrygrade.serving.platform;

import io.bilberrygrade.core.config.Deployment;
import io.smallrye.mutiny.Uni;

/**
 * Turns published parts into a checked deployment. Parts of many teams take long to read, so that a
 * daemon does this off its event loop.
 */
public interface DeploymentLoader {
    /** Loads the parts; fails with an {@link InvalidConfigException}. */
    Uni<Deployment> load(ConfigParts parts);

    /** Returns a loader that reads the parts at once, on the calling thread. */
    static DeploymentLoader immediate() {
        return parts ->
                Uni.createFrom()
                        .emitter(
                                e -> {
                                    try {
                                        e.complete(DeploymentParser.parse(parts));
                                    } catch (InvalidConfigException invalid) {
                                        e.fail(invalid);
                                    }
                                });
    }
}
