package io.bilberrygrade.serving.platform;

import io.bilberrygrade.serving.wire.InstanceListDocument;
import io.smallrye.mutiny.Uni;

/** Access to the platform's list of live and leaving instances, which may be out of date. */
public interface InstanceListSource {
    /** Reads the list. */
    Uni<InstanceListDocument> read();
}
