package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * Calls between entry daemons. Failures are {@link io.bilberrygrade.serving.error.CallException}s;
 * a call that was not delivered says so.
 */
public interface PeerNetwork {
    /** Calls a peer and returns its reply. */
    Uni<PeerMessage> call(Address peer, PeerMessage message, Duration timeout);
}
