package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * Calls between entry daemons. Failures are {@link io.bilberrygrade.serving.error.CallException}s;
 * their delivery tells whether the call can have reached the peer.
 */
public interface PeerNetwork {
    /** Calls a peer and returns its reply. */
    Uni<PeerMessage> call(Address peer, PeerMessage message, Duration timeout);
}
