package io.bilberrygrade.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.time.Instant;

/**
 * Reason to send a request to no endpoint.
 *
 * @param suspects what the request holds and of which at least one crashes endpoints
 * @param crashes crashes from which that follows; those at the same time count as one
 * @param trialAt when a single request with the suspects may be sent to see whether they still do
 */
public record Quarantine(ImmutableSet<Suspect> suspects, int crashes, Instant trialAt) {}
