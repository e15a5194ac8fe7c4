package io.bilberrygrade.core.forward;

/**
 * Outstanding work that daemons have sent to an endpoint.
 *
 * @param calls requests in flight
 * @param readMillis predicted prefill time of the prompts that have no first event yet; for a plain
 *     service, predicted time of the requests in flight where costs are learned
 * @param writers streams in decode, which have sent their first event
 * @param strictCalls requests that miss their latency target if a single pass, in prefill or
 *     decode, takes long
 * @param tokens engine memory that the requests need, in tokens
 */
public record EndpointWork(int calls, long readMillis, int writers, int strictCalls, long tokens) {
    /** No work. */
    public static final EndpointWork NONE = new EndpointWork(0, 0, 0, 0, 0);

    /** Returns the sum of this and the other work. */
    public EndpointWork plus(EndpointWork other) {
        return new EndpointWork(
                calls + other.calls,
                readMillis + other.readMillis,
                writers + other.writers,
                strictCalls + other.strictCalls,
                tokens + other.tokens);
    }

    /** Returns the work with all signs inverted, to subtract it from a sum. */
    public EndpointWork negated() {
        return new EndpointWork(-calls, -readMillis, -writers, -strictCalls, -tokens);
    }
}
