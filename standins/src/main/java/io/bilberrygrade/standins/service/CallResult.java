package io.bilberrygrade.standins.service;

/** Answer of the plain service: the operation and how many of its calls have run so far. */
public record CallResult(String operation, long serial) {}
