package io.bilberrygrade.serving.error;

/** Whether a failed call can have had an effect on the other side. */
public enum Delivery {
    /** No byte of the call can have reached the other side. */
    NOT_DELIVERED,
    /** The other side reported that it ran nothing. */
    REFUSED,
    /** The call may have run. */
    MAY_HAVE_RUN
}
