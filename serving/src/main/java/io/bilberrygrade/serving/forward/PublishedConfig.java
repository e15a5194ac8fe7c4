package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.vertx.core.buffer.Buffer;

/**
 * A configuration with the document that was published. Peers send the whole document, so that each
 * daemon validates it itself.
 */
public record PublishedConfig(ForwardingConfig config, Buffer document) {
    /** Returns the version of the configuration. */
    public long version() {
        return config.version();
    }
}
