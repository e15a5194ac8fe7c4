package io.bilberrygrade.standins.load.pattern;

import io.bilberrygrade.core.forward.RegisteredEndpoint;

/** Simulated endpoint of a plain service, which runs its requests in order of arrival. */
final class ServiceEndpoint {
    private final RegisteredEndpoint mEndpoint;
    private final double mSpeed;
    private final double[] mSlotFreeAt;

    ServiceEndpoint(RegisteredEndpoint endpoint, double speed) {
        mEndpoint = endpoint;
        mSpeed = speed;
        mSlotFreeAt = new double[endpoint.slots()];
    }

    RegisteredEndpoint endpoint() {
        return mEndpoint;
    }

    /** Returns when a request that is sent now would be complete. */
    double completion(double now, double cost) {
        return Math.max(now, mSlotFreeAt[firstFree()]) + cost / mSpeed;
    }

    /** Runs a request and returns the time until it is complete. */
    double run(double now, double cost) {
        int slot = firstFree();
        mSlotFreeAt[slot] = Math.max(now, mSlotFreeAt[slot]) + cost / mSpeed;
        return mSlotFreeAt[slot] - now;
    }

    private int firstFree() {
        int first = 0;
        for (int i = 1; i < mSlotFreeAt.length; i++) {
            first = mSlotFreeAt[i] < mSlotFreeAt[first] ? i : first;
        }
        return first;
    }
}
