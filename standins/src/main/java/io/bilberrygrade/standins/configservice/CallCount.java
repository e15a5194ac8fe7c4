package io.bilberrygrade.standins.configservice;

/** Calls that the service has counted, a waiting watch as one. */
public record CallCount(long manifests, long parts) {}
