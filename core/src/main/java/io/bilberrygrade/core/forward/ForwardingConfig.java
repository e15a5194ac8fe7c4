package io.bilberrygrade.core.forward;

import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.core.identity.ServiceId;

/** Immutable, complete configuration of request forwarding at one published version. */
public record ForwardingConfig(
        long version,
        RouteTable routes,
        ImmutableMap<ServiceId, ForwardService> services,
        RequestLimits limits,
        KeyRing keys) {}
