package io.bilberrygrade.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Computes the silence after which a peer is suspected or dead. A digest holds a bounded number of
 * members, so that in a larger fleet each member's heartbeat arrives less often and the limits grow
 * with the size of the fleet.
 */
public record SuspicionPolicy(Duration round, int digestMembers) {
    private static final int BASE_ROUNDS = 4;
    private static final int ROUNDS_PER_FURTHER_DIGEST = 3;

    /** Creates the policy; rejects a round or a digest size that is not positive. */
    public SuspicionPolicy {
        checkArgument(round.isPositive(), "a round must be positive");
        checkArgument(digestMembers > 0, "a digest must hold members");
    }

    /** Returns the silence after which a peer of a fleet of {@code members} is suspected. */
    public Duration suspectAfter(int members) {
        int digests = (members + digestMembers - 1) / digestMembers;
        return rounds(BASE_ROUNDS + (long) ROUNDS_PER_FURTHER_DIGEST * (digests - 1));
    }

    /** Returns the silence after which a peer of a fleet of {@code members} is dead. */
    public Duration deadAfter(int members) {
        return suspectAfter(members).plus(suspectAfter(members));
    }

    /** Returns the length of several rounds, in whole milliseconds. */
    Duration rounds(long count) {
        return Duration.ofMillis(round.toMillis() * count);
    }
}
