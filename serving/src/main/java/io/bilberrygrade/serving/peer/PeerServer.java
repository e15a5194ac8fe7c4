package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.MembershipEvent;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.bilberrygrade.serving.settings.PeerKey;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.Optional;

/** Accepts connections of peers, authenticates them and answers their calls. */
public final class PeerServer {
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    /** Time after which a connection without calls is closed; its peer may have vanished. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(1);

    private final Vertx mVertx;
    private final PeerIdentity mSelf;
    private final PeerAuthenticator mAuthenticator;
    private final PeerHandler mHandler;
    private final PeerFrames mFrames;
    private final EventLog mEvents;
    private final NetServer mServer;

    /** Creates the server; {@link #listen} opens its port. */
    public PeerServer(
            Vertx vertx,
            PeerIdentity self,
            PeerKey key,
            PeerHandler handler,
            ControlTraffic traffic,
            EventLog events) {
        mVertx = vertx;
        mSelf = self;
        mAuthenticator = new PeerAuthenticator(key);
        mHandler = handler;
        mFrames = new PeerFrames(traffic);
        mEvents = events;
        mServer =
                vertx.createNetServer(
                        new NetServerOptions()
                                .setTcpNoDelay(true)
                                .setReadIdleTimeout((int) IDLE_TIMEOUT.toSeconds()));
        mServer.connectHandler(s -> new Connection(s).open());
    }

    /** Opens the port and returns it. */
    public Uni<Integer> listen(String host, int port) {
        return Uni.createFrom()
                .completionStage(() -> mServer.listen(port, host).toCompletionStage())
                .map(NetServer::actualPort);
    }

    /** Closes the port and all connections. */
    public Uni<Void> close() {
        return Uni.createFrom().completionStage(() -> mServer.close().toCompletionStage());
    }

    private final class Connection {
        private final NetSocket mSocket;
        private final String mNonce = PeerAuthenticator.newNonce();
        private Optional<PeerIdentity> mPeer = Optional.empty();

        Connection(NetSocket socket) {
            mSocket = socket;
        }

        void open() {
            mVertx.setTimer(HANDSHAKE_TIMEOUT_MILLIS, t -> closeUnlessAuthenticated());
            mFrames.read(mSocket, this::receive, this::reject);
            send(0, EnvelopeKind.HANDSHAKE, new PeerMessage.Challenge(mNonce));
        }

        private void receive(Envelope envelope) {
            if (mPeer.isPresent() && envelope.kind() == EnvelopeKind.CALL) {
                answer(mPeer.get(), envelope);
            } else if (mPeer.isEmpty() && envelope.message() instanceof PeerMessage.Hello h) {
                authenticate(h);
            } else {
                reject("unexpected message " + envelope.message().getClass().getSimpleName());
            }
        }

        private void authenticate(PeerMessage.Hello h) {
            if (h.nonce() == null
                    || !mAuthenticator.isValid(
                            h.proof(),
                            PeerAuthenticator.Role.CONNECTING,
                            mNonce,
                            h.instance(),
                            h.incarnation())) {
                reject("hello with a missing nonce or an invalid proof");
                return;
            }
            mPeer =
                    Optional.of(
                            new PeerIdentity(
                                    new InstanceId(h.instance()),
                                    new Incarnation(h.incarnation())));
            String name = mSelf.instance().value();
            long incarnation = mSelf.incarnation().value();
            String proof =
                    mAuthenticator.proof(
                            PeerAuthenticator.Role.ACCEPTING, h.nonce(), name, incarnation);
            send(0, EnvelopeKind.HANDSHAKE, new PeerMessage.Welcome(name, incarnation, proof));
        }

        private void answer(PeerIdentity peer, Envelope call) {
            Uni.createFrom()
                    .deferred(() -> mHandler.handle(peer, call.message()))
                    .onFailure()
                    .recoverWithItem(e -> new PeerMessage.Failure(e.toString()))
                    .subscribe()
                    .with(reply -> send(call.call(), EnvelopeKind.REPLY, reply));
        }

        private void send(long call, EnvelopeKind kind, PeerMessage message) {
            mSocket.write(mFrames.encode(new Envelope(Envelope.VERSION, call, kind, message)));
        }

        private void closeUnlessAuthenticated() {
            if (mPeer.isEmpty()) {
                mSocket.close();
            }
        }

        private void reject(String fault) {
            mEvents.record(
                    new MembershipEvent.FrameRejected(mSocket.remoteAddress().toString(), fault));
            mSocket.close();
        }
    }
}
