package io.bilberrygrade.core.relay;

import io.bilberrygrade.core.identity.EndpointId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether this daemon is cut off from all endpoints of a service. The load that it answers:
 * a network fault between some instances and all endpoints, while callers go on to use these
 * instances.
 *
 * <p>Several endpoints in a row can't be reached, and none has answered a request that was sent
 * since the first of them failed. Answers to earlier requests don't count, since old connections
 * may live on while new ones fail. One silent, busy or crashed endpoint isn't enough. Endpoints
 * that all crash together look the same from here; then peers can't reach them either, and say so.
 *
 * <p>Connecting on trial tells when the cut has ended: two endpoints in a row must accept.
 */
public final class EndpointReach {
    /** Unreachable endpoints from which on the daemon is taken to be cut off. */
    private static final int MIN_UNREACHABLE = 3;

    /** Accepted trials in a row from which on the daemon is no longer cut off. */
    private static final int MIN_ACCEPTED = 2;

    /** Time for which a failed connect is evidence. */
    private static final Duration EVIDENCE_TIME = Duration.ofSeconds(3);

    private final Map<EndpointId, Instant> mUnreachable = new HashMap<>();
    private final Set<EndpointId> mAccepted = new HashSet<>();
    private Optional<Instant> mFirstFailureAt = Optional.empty();
    private Optional<Instant> mCutSince = Optional.empty();

    /** Returns since when the daemon has been cut off; empty if it isn't. */
    public Optional<Instant> cutSince() {
        return mCutSince;
    }

    /** Returns the number of endpoints that couldn't be reached lately. */
    public int unreachableCount() {
        return mUnreachable.size();
    }

    /**
     * Records an endpoint that couldn't be reached; returns whether the daemon has become cut off.
     *
     * @param registered number of endpoints of the service
     */
    public boolean recordUnreachable(EndpointId endpoint, int registered, Instant now) {
        mUnreachable.values().removeIf(at -> !at.plus(EVIDENCE_TIME).isAfter(now));
        if (mUnreachable.isEmpty()) {
            mFirstFailureAt = Optional.of(now);
        }
        mUnreachable.put(endpoint, now);
        boolean enough = mUnreachable.size() >= Math.min(MIN_UNREACHABLE, Math.max(registered, 1));
        if (!enough || mCutSince.isPresent()) {
            return false;
        }
        mCutSince = mFirstFailureAt;
        mAccepted.clear();
        return true;
    }

    /** Records an answer to a request that was sent at the given time. */
    public void recordAnswer(Instant sentAt) {
        if (mCutSince.isEmpty() && mFirstFailureAt.filter(at -> !sentAt.isBefore(at)).isPresent()) {
            mUnreachable.clear();
        }
    }

    /**
     * Records a connect on trial while the daemon is cut off; returns whether the cut has ended.
     *
     * @param registered number of endpoints of the service
     */
    public boolean recordTrial(EndpointId endpoint, boolean accepted, int registered) {
        if (mCutSince.isEmpty()) {
            return false;
        }
        if (!accepted) {
            mAccepted.clear();
            return false;
        }
        mAccepted.add(endpoint);
        if (mAccepted.size() < Math.min(MIN_ACCEPTED, Math.max(registered, 1))) {
            return false;
        }
        mCutSince = Optional.empty();
        mUnreachable.clear();
        return true;
    }
}
