package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.vertx.core.buffer.Buffer;

/**
 * A configuration together with the document that was published, which peers hand on whole so that
 * each daemon checks it itself.
 */
public record PublishedConfig(ForwardingConfig config, Buffer document) {
    /** Returns its version. */
    public long version() {
        return config.version();
    }
}
