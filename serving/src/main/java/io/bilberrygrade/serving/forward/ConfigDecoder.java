package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.forward.ForwardingConfig;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/** Reads a configuration in the platform's format. */
public interface ConfigDecoder {
    /**
     * Returns the configuration of a document.
     *
     * @throws IOException if the document is none or lacks a part
     */
    ForwardingConfig decode(Buffer document) throws IOException;
}
