package io.bilberrygrade.core.forward;

import io.bilberrygrade.core.identity.ServiceId;

/** Service that takes a part of a route's requests in proportion to its weight. */
public record WeightedService(ServiceId service, double weight) {}
