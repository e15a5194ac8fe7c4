package io.bilberrygrade.serving.error;

import io.bilberrygrade.core.request.Step;
import java.util.Optional;

/** Failure of a call to an endpoint, to a peer or to the platform. */
public final class CallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mPeer;
    private final Delivery mDelivery;
    private final String mRefusal;

    /**
     * Creates a failure of a step at a peer; {@code delivery} tells whether the call can have had
     * an effect.
     */
    public CallException(
            Step step, String peer, Delivery delivery, String message, Throwable cause) {
        super(step + " at " + peer + ": " + message, cause);
        mStep = step;
        mPeer = peer;
        mDelivery = delivery;
        mRefusal = "";
    }

    private CallException(Step step, String peer, String refusal) {
        super(step + " at " + peer + ": refused, " + refusal);
        mStep = step;
        mPeer = peer;
        mDelivery = Delivery.REFUSED;
        mRefusal = refusal;
    }

    /** Creates the failure of a call that the endpoint refused, with its reason. */
    public static CallException refused(Step step, String peer, String refusal) {
        return new CallException(step, peer, refusal);
    }

    /** Creates a failure without a cause. */
    public CallException(Step step, String peer, Delivery delivery, String message) {
        this(step, peer, delivery, message, null);
    }

    /** Returns the step that failed. */
    public Step step() {
        return mStep;
    }

    /** Returns the peer or endpoint that was called. */
    public String peer() {
        return mPeer;
    }

    /** Returns whether the call can have had an effect. */
    public Delivery delivery() {
        return mDelivery;
    }

    /** Returns the reason that the endpoint gave for a refusal, or empty. */
    public Optional<String> refusal() {
        return mRefusal.isEmpty() ? Optional.empty() : Optional.of(mRefusal);
    }
}
