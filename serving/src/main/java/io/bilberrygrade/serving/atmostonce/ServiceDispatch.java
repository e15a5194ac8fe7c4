package io.bilberrygrade.serving.atmostonce;

import io.bilberrygrade.serving.peer.KeyedOutcome;
import io.smallrye.mutiny.Uni;

/** Runs a call that its key's home has decided to run. */
public interface ServiceDispatch {
    /** Runs the call; never sends it again once a byte of it may have left. */
    Uni<KeyedOutcome> dispatch(KeyedSubmission submission);
}
