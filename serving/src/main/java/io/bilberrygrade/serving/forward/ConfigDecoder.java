package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/** Decodes a configuration from the platform's format. */
public interface ConfigDecoder {
    /**
     * Returns the configuration that the document holds.
     *
     * @throws IOException if the document is malformed or incomplete
     */
    ForwardingConfig decode(Buffer document) throws IOException;
}
