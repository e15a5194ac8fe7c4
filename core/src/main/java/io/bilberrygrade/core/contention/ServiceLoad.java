package io.bilberrygrade.core.contention;

import java.time.Duration;

/**
 * Capacity of the endpoints that are eligible for a request, and the work of all instances at them.
 *
 * @param slots requests that the endpoints run concurrently
 * @param calls requests at the endpoints, in slots and in their queues
 * @param readMillis predicted time until an engine has read the prompts that it has, at best
 * @param memoryTokens memory of the endpoints in tokens; 0 if they are no engines
 * @param tokens memory that the requests at the endpoints need
 * @param age time since the other instances' part of the work was received
 * @param instances instances that send to the endpoints, this one included
 */
public record ServiceLoad(
        int slots,
        int calls,
        double readMillis,
        long memoryTokens,
        long tokens,
        Duration age,
        int instances) {
    /**
     * Requests that an engine queues for each of its slots; from the deployments' engines, which
     * have 8 slots and queue 24 requests.
     */
    private static final int QUEUE_PER_SLOT = 3;

    /** Returns the number of requests that wait for a slot. */
    public int queued() {
        return Math.clamp((long) calls - slots, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the used part of the engines' queues, from 0 to 1 and above if they are over; 0 for a
     * plain service, whose queues aren't known to be bounded.
     */
    public double queueFraction() {
        return memoryTokens == 0 ? 0 : queued() / ((double) Math.max(1, slots) * QUEUE_PER_SLOT);
    }
}
