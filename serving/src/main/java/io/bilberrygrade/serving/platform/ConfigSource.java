package io.bilberrygrade.serving.platform;

import io.bilberrygrade.serving.wire.ManifestDocument;
import io.bilberrygrade.serving.wire.PartReference;
import io.smallrye.mutiny.Uni;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;

/**
 * The published configuration, which can only be read and watched. Failures are {@link
 * io.bilberrygrade.serving.error.CallException}s.
 */
public interface ConfigSource {
    /** Returns the manifest once its version is above {@code after} or the wait has passed. */
    Uni<ManifestDocument> watch(long after, Duration wait);

    /** Reads the bytes of one part; they may be of another version than the reference. */
    Uni<Buffer> read(PartReference part);
}
