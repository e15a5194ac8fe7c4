package io.bilberrygrade.core.reclaim;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Decides whether memory on an engine is orphaned. A request past its deadline has received its
 * final answer and needs no memory, and neither does a run that has certainly ended; an unreachable
 * daemon may still be using its memory.
 */
public final class OrphanPolicy {
    /** Time after the deadline in which the owner releases the memory itself. */
    private static final Duration RELEASE_GRACE = Duration.ofSeconds(1);

    private OrphanPolicy() {}

    /**
     * Returns why the memory is orphaned, or empty when it may be in use; {@code ended} tests
     * whether a run of an instance has certainly ended.
     */
    public static Optional<OrphanReason> findOrphanReason(
            HeldMemory memory, BiPredicate<InstanceId, Incarnation> ended) {
        if (memory.remaining().plus(RELEASE_GRACE).isNegative()) {
            return Optional.of(OrphanReason.DEADLINE_PAST);
        }
        return memory.instance()
                .filter(i -> ended.test(i, memory.incarnation()))
                .map(i -> OrphanReason.OWNER_GONE);
    }
}
