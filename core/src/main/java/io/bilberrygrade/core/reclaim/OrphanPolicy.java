package io.bilberrygrade.core.reclaim;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Decides whether memory is orphaned. A request past its deadline has its final answer, so nobody
 * needs its memory, and neither does a run that has certainly ended; a daemon that merely can't be
 * reached may still be using it.
 */
public final class OrphanPolicy {
    /** Time after a deadline in which the owner itself releases. */
    private static final Duration GRACE = Duration.ofSeconds(1);

    private OrphanPolicy() {}

    /**
     * Returns why a holding is orphaned, or empty when it may be in use; {@code ended} tells
     * whether a run of an instance has certainly ended.
     */
    public static Optional<OrphanReason> orphaned(
            Holding holding, BiPredicate<InstanceId, Incarnation> ended) {
        if (holding.remaining().plus(GRACE).isNegative()) {
            return Optional.of(OrphanReason.DEADLINE_PAST);
        }
        return holding.instance()
                .filter(i -> ended.test(i, holding.incarnation()))
                .map(i -> OrphanReason.OWNER_GONE);
    }
}
