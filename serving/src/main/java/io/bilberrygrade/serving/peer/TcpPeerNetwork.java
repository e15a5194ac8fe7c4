package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.time.VertxTimers;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Calls peers over TCP, with one connection per peer that is opened on demand. A connection on
 * which nothing came while a call timed out isn't used again: it may be dead without a reset.
 */
public final class TcpPeerNetwork implements PeerNetwork {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final Vertx mVertx;
    private final Timers mTimers;
    private final NetClient mClient;
    private final PeerIdentity mSelf;
    private final ControlTraffic mTraffic;
    private final PeerAuthenticator mAuthenticator;
    private final Map<Address, PeerConnection> mConnections = new HashMap<>();

    /** Creates the network of a daemon. */
    public TcpPeerNetwork(Vertx vertx, PeerIdentity self, PeerKey key, ControlTraffic traffic) {
        mVertx = vertx;
        mTimers = new VertxTimers(vertx);
        mSelf = self;
        mTraffic = traffic;
        mAuthenticator = new PeerAuthenticator(key);
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setTcpNoDelay(true));
    }

    @Override
    public Uni<PeerMessage> call(Address peer, PeerMessage message, Duration timeout) {
        PeerConnection connection = connection(peer);
        long received = connection.received();
        Uni<PeerMessage> reply =
                connection.whenReady().onItem().transformToUni(c -> c.call(message));
        // Timers and connections share the event loop that owns all state.
        Uni<PeerMessage> expired =
                mTimers.after(timeout)
                        .invoke(() -> connection.retireIfSilentSince(received))
                        .onItem()
                        .transformToUni(v -> Uni.createFrom().failure(timedOut(peer)));
        return Uni.join().first(reply, expired).toTerminate();
    }

    private PeerConnection connection(Address peer) {
        PeerConnection existing = mConnections.get(peer);
        if (existing != null && existing.isUsable()) {
            return existing;
        }
        PeerConnection created = new PeerConnection(mVertx, peer, mSelf, mAuthenticator, mTraffic);
        mConnections.put(peer, created);
        created.connect(mClient);
        return created;
    }

    /** Closes all connections. */
    public void close() {
        mConnections.values().forEach(PeerConnection::close);
        mClient.close();
    }

    private static CallException timedOut(Address peer) {
        return new CallException(
                Step.PEER_CALL, peer.toString(), Delivery.MAY_HAVE_RUN, "timed out");
    }
}
