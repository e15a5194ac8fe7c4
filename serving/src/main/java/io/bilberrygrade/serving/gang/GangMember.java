package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.engine.KvHandle;
import java.util.Optional;

/**
 * Engine that generates an answer: the last one of a gang, with its reservation and the KV caches
 * of the others, or a single engine that serves the whole prompt.
 */
public record GangMember(
        Placement placement, Optional<String> reservationId, ImmutableList<KvHandle> imports) {
    /** Returns a single engine that serves the whole prompt. */
    public static GangMember singleEngine(Placement placement) {
        return new GangMember(placement, Optional.empty(), ImmutableList.of());
    }
}
