package io.bilberrygrade.serving.platform;

import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/**
 * Read-only access to the published configuration. Failures are {@link
 * io.bilberrygrade.serving.error.CallException}s.
 */
public interface ConfigSource {
    /** Returns the manifest as soon as its version is above {@code after}, or after the wait. */
    Uni<ManifestDocument> watch(long after, Duration wait);

    /** Reads the bytes of one part; they may belong to another version than the reference. */
    Uni<Buffer> read(PartReference part);
}
