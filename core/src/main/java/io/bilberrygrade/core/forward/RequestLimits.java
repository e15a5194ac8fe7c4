package io.bilberrygrade.core.forward;

import java.time.Duration;

/** Published limits on the size of callers' requests and on the idle time of their connections. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, Duration idleTimeout) {}
