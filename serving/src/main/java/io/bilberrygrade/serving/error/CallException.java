package io.bilberrygrade.serving.error;

import io.bilberrygrade.core.request.Step;

/** Failure of a call to an endpoint, to a peer or to the platform. */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mPeer;
    private final Delivery mDelivery;

    /** Creates a failure of the step, at the peer, with what is known of its effect. */
    public CallException(
            Step step, String peer, Delivery delivery, String message, Throwable cause) {
        super(step + " at " + peer + ": " + message, cause);
        mStep = step;
        mPeer = peer;
        mDelivery = delivery;
    }

    /** Creates a failure that no other exception caused. */
    public CallException(Step step, String peer, Delivery delivery, String message) {
        this(step, peer, delivery, message, null);
    }

    /** Returns the step at which the failure arose. */
    public Step step() {
        return mStep;
    }

    /** Returns the peer or endpoint at which the failure arose. */
    public String peer() {
        return mPeer;
    }

    /** Returns whether the call can have had an effect. */
    public Delivery delivery() {
        return mDelivery;
    }
}
