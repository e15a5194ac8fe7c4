package io.bilberrygrade.standins.service;

/**
 * Answer of the plain service: the operation and the number of calls that the service has run so
 * far.
 */
public record CallResult(String operation, long serial) {}
