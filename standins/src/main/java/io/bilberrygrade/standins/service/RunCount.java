package io.bilberrygrade.standins.service;

/** Number of times that the call with an idempotency key has run. */
public record RunCount(String key, int runs) {}
