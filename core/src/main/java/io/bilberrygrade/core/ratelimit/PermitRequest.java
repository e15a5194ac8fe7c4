package io.bilberrygrade.core.ratelimit;

/**
 * Permits that a daemon asks for to send requests to one rate-limited endpoint.
 *
 * @param wanted number of permits that it could use now
 * @param starved whether some of its requests found no other endpoint
 */
public record PermitRequest(int wanted, boolean starved) {}
