package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.smallrye.mutiny.Uni;

/** Runs a call for the home of its key. */
public interface ServiceDispatch {
    /** Runs the call; never resends it once any byte of it may have been sent. */
    Uni<KeyedOutcome> dispatch(KeyedSubmission submission);
}
