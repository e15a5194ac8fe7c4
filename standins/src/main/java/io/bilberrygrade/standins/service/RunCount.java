package io.bilberrygrade.standins.service;

/** How often the call with an idempotency key has run. */
public record RunCount(String key, int runs) {}
