package io.bilberrygrade.serving.forward;

import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.EndpointId;
import java.util.HashSet;
import java.util.Set;

/** The attempts that a request has used up, and how many it may still make. */
final class AttemptHistory {
    /** Limit of failed connects, none of which reached an endpoint. */
    private static final int MAX_FAILED_CONNECTS = 3;

    private final int mMaxAttempts;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private int mCount;
    private int mFailedConnects;

    AttemptHistory(int maxAttempts) {
        mMaxAttempts = maxAttempts;
    }

    /** Records an attempt at an endpoint. */
    void recordSent(EndpointId endpoint) {
        mCount++;
        mTriedEndpoints.add(endpoint);
    }

    /** Records that an attempt reached no endpoint. */
    void recordNotDelivered() {
        mCount--;
        mFailedConnects++;
    }

    /** Returns how many endpoints a peer may use, which leaves one for another attempt. */
    int attemptsForPeer() {
        int left = mMaxAttempts - mCount;
        return left > 1 ? left - 1 : left;
    }

    /** Records that the request is handed over to a peer, which may use so many endpoints. */
    void recordHandOver(int attempts) {
        mCount += attempts;
    }

    /** Records that the peer used none of them. */
    void recordNotHandedOver(int attempts) {
        mCount -= attempts;
    }

    /** Returns the number of attempts that may have reached an endpoint. */
    int count() {
        return mCount;
    }

    /** Returns the endpoints that aren't tried again. */
    ImmutableSet<EndpointId> tried() {
        return ImmutableSet.copyOf(mTriedEndpoints);
    }

    boolean hasAttemptsLeft() {
        return mCount < mMaxAttempts && mFailedConnects < MAX_FAILED_CONNECTS;
    }
}
