package io.bilberrygrade.core.contention;

import io.bilberrygrade.core.identity.TeamId;
import java.time.Duration;
import java.util.Optional;

/**
 * A request that asks to be admitted, with what it needs.
 *
 * @param kind its route, whose requests are compared by length
 * @param length prompt tokens, or bytes of the body where there is no prompt
 * @param readMillis predicted time until its first event or answer once it has a slot
 * @param slotMillis predicted time for which it uses a slot; 0 if nothing is known
 * @param goal target for the first event, or for the answer of a plain service
 * @param timeLeft time after which its caller has no use for an answer
 */
public record ServiceRequest(
        Rank rank,
        String kind,
        Optional<TeamId> team,
        long length,
        double readMillis,
        double slotMillis,
        Duration goal,
        Duration timeLeft) {}
