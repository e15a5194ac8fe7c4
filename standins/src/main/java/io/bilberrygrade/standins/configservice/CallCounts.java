package io.bilberrygrade.standins.configservice;

/** Numbers of calls that the service has counted; a pending watch counts as one. */
public record CallCounts(long manifests, long parts) {}
