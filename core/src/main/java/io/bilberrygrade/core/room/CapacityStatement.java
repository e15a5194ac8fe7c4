package io.bilberrygrade.core.room;

/**
 * What an instance states about itself.
 *
 * @param slow whether its own timers or calls are so late that it hands over its role
 */
public record CapacityStatement(Capacity capacity, boolean slow) {}
