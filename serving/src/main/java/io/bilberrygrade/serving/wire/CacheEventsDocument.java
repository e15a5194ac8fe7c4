package io.bilberrygrade.serving.wire;

import java.util.List;

/**
 * Prefix cache events from {@code firstAvailable} on; a gap shows as a first sequence above the one
 * asked for.
 */
public record CacheEventsDocument(long firstAvailable, List<CacheEvent> events) {}
