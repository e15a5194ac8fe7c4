package io.bilberrygrade.serving.platform;

import io.bilberrygrade.core.config.Deployment;
import io.smallrye.mutiny.Uni;

/**
 * Parses published parts into a validated deployment. A daemon does this off its event loop, since
 * parts with many teams take long to parse.
 */
public interface DeploymentLoader {
    /** Loads the parts; fails with an {@link InvalidConfigException}. */
    Uni<Deployment> load(ConfigParts parts);

    /** Returns a loader that parses synchronously on the calling thread. */
    static DeploymentLoader synchronous() {
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
