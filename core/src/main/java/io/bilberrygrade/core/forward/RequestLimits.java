package io.bilberrygrade.core.forward;

import java.time.Duration;

/** Published bounds on what a caller may send, and on how long it may stay idle. */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, Duration idleTimeout) {}
