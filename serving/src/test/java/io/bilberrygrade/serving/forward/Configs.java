package io.bilberrygrade.serving.forward;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import io.bilberrygrade.core.forward.ForwardingConfig;
import io.bilberrygrade.core.forward.KeyRing;
import io.bilberrygrade.core.forward.RequestLimits;
import io.bilberrygrade.core.forward.RouteTable;
import io.bilberrygrade.core.forward.StorePosition;
import io.bilberrygrade.core.identity.TeamId;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Builds configurations that hold only a version and keys, in a test format: {@code
 * version:key,key}.
 */
final class Configs {
    private static final TeamId TEAM = new TeamId("team");

    private Configs() {}

    static PublishedConfig of(long version, Set<String> keys) {
        Buffer document = Buffer.buffer(version + ":" + Joiner.on(',').join(keys));
        return new PublishedConfig(decode(document), document);
    }

    static PublishedConfig of(long version) {
        return of(version, ImmutableSet.of());
    }

    static ForwardingConfig decode(Buffer document) {
        List<String> parts = Splitter.on(':').splitToList(document.toString());
        ImmutableSet<String> keys =
                ImmutableSet.copyOf(Splitter.on(',').omitEmptyStrings().split(parts.get(1)));
        return new ForwardingConfig(
                Long.parseLong(parts.get(0)),
                new RouteTable(ImmutableList.of()),
                ImmutableMap.of(),
                new RequestLimits(1, 1, Duration.ZERO),
                new KeyRing(true, ImmutableMap.copyOf(Maps.asMap(keys, k -> TEAM))));
    }

    /** Returns a read of the version, which was written at the given position. */
    static PublishedState.ConfigReading reading(long version, StorePosition at) {
        return new PublishedState.ConfigReading(Optional.of(at), Optional.of(of(version)), at);
    }
}
