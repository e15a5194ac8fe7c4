package io.bilberrygrade.serving.gang;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.routing.Placement;
import io.bilberrygrade.serving.engine.KvHandle;

/** What the last engine of a gang needs to generate the answer. */
public record GangMember(
        Placement placement, String reservationId, ImmutableList<KvHandle> imports) {}
