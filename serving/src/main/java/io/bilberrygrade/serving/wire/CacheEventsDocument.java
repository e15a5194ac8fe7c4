package io.bilberrygrade.serving.wire;

import java.util.List;

/**
 * Prefix cache events from {@code firstAvailable} on. A gap shows as a first sequence above the
 * requested one.
 */
public record CacheEventsDocument(long firstAvailable, List<CacheEvent> events) {}
