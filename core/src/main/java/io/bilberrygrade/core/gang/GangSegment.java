package io.bilberrygrade.core.gang;

import io.bilberrygrade.core.routing.EndpointView;

/**
 * Part of a prompt, from token {@code from} up to token {@code to}, that one engine of a gang
 * prefills and keeps. {@code reservedTokens} is the KV memory that it needs there.
 */
public record GangSegment(EndpointView engine, long from, long to, long reservedTokens) {
    /** Returns the length in tokens. */
    public long tokens() {
        return to - from;
    }
}
