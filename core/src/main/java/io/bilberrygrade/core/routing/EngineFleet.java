package io.bilberrygrade.core.routing;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.lane.LanePlan;
import java.time.Instant;

/**
 * Engines of one model as a daemon sees them. Views are made one by one, so that a decision pays
 * only for the engines that it looks at.
 */
public interface EngineFleet {
    /** Returns the engines in an order that is the same on all daemons. */
    ImmutableList<Endpoint> engines();

    /** Returns the engines of which this daemon keeps fresh reports. */
    ImmutableList<Endpoint> watched();

    /** Returns the watched engines that are kept free of long work; none if it isn't confined. */
    ImmutableList<Endpoint> freeEngines();

    /** Returns the engines that long work is confined to, or all when it is not confined. */
    ImmutableList<Endpoint> longEngines();

    /** Returns the preferred engines of a prefix, by position in {@link #engines()}. */
    RendezvousTable preferred();

    /** Returns the KV memory of the largest engine in tokens. */
    long largestMemoryTokens();

    /** Returns how requests are divided into lanes. */
    LanePlan lanes();

    /** Returns which prefixes engines are believed to have cached. */
    PrefixIndex prefixes();

    /** Returns what the daemon knows of one of the engines. */
    EndpointView view(Endpoint engine, Instant now);
}
