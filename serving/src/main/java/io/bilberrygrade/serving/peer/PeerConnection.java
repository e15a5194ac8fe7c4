package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.error.Delivery;
import io.bilberrygrade.serving.metrics.ControlTraffic;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Outgoing connection to one peer: handshake, then calls and their replies. */
final class PeerConnection {
    private static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    private final Vertx mVertx;
    private final Address mPeer;
    private final PeerIdentity mSelf;
    private final PeerAuthenticator mAuthenticator;
    private final PeerFrames mFrames;
    private final String mNonce = PeerAuthenticator.newNonce();
    private final Map<Long, UniEmitter<? super PeerMessage>> mPending = new HashMap<>();
    private final List<UniEmitter<? super PeerConnection>> mReadyEmitters = new ArrayList<>();
    private Optional<NetSocket> mSocket = Optional.empty();
    private boolean mReady;
    private boolean mRetired;
    private boolean mClosed;
    private long mNextCallId = 1;
    private long mReceived;

    PeerConnection(
            Vertx vertx,
            Address peer,
            PeerIdentity self,
            PeerAuthenticator authenticator,
            ControlTraffic traffic) {
        mVertx = vertx;
        mPeer = peer;
        mSelf = self;
        mAuthenticator = authenticator;
        mFrames = new PeerFrames(traffic);
    }

    void connect(NetClient client) {
        try {
            client.connect(mPeer.port(), mPeer.host())
                    .onSuccess(this::onConnected)
                    .onFailure(e -> fail(e.toString()));
        } catch (RuntimeException e) {
            fail(e.toString());
        }
    }

    /** Returns whether further calls may be made on this connection. */
    boolean isUsable() {
        return !mClosed && !mRetired;
    }

    /** Completes with this connection after the handshake. */
    Uni<PeerConnection> whenReady() {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            if (mReady) {
                                e.complete(this);
                            } else if (mClosed) {
                                e.fail(failure(Delivery.NOT_DELIVERED, "closed"));
                            } else {
                                mReadyEmitters.add(e);
                            }
                        });
    }

    Uni<PeerMessage> call(PeerMessage message) {
        return Uni.createFrom()
                .emitter(
                        e -> {
                            if (mClosed) {
                                e.fail(failure(Delivery.NOT_DELIVERED, "closed"));
                                return;
                            }
                            long call = mNextCallId++;
                            mPending.put(call, e);
                            e.onTermination(
                                    () -> {
                                        mPending.remove(call);
                                        closeIfUnused();
                                    });
                            send(call, EnvelopeKind.CALL, message);
                        });
    }

    /** Returns the number of messages received so far. */
    long received() {
        return mReceived;
    }

    /**
     * Uses the connection for no more calls if nothing was received since the given count, since it
     * may be dead, and closes it after those in flight. One that isn't ready yet is left alone; its
     * handshake has a time limit of its own.
     */
    void retireIfSilentSince(long received) {
        if (mReady && mReceived == received) {
            mRetired = true;
            closeIfUnused();
        }
    }

    private void closeIfUnused() {
        if (mRetired && mPending.isEmpty()) {
            fail("nothing was received on this connection");
        }
    }

    void close() {
        fail("closed");
    }

    private void onConnected(NetSocket socket) {
        mSocket = Optional.of(socket);
        socket.closeHandler(v -> fail("the connection was closed"));
        socket.exceptionHandler(e -> fail(e.toString()));
        mFrames.read(socket, this::receive, this::fail);
        mVertx.setTimer(HANDSHAKE_TIMEOUT_MILLIS, t -> failUnlessReady());
    }

    private void receive(Envelope envelope) {
        mReceived++;
        switch (envelope.message()) {
            case PeerMessage.Challenge c when !mReady -> sendHello(c);
            case PeerMessage.Welcome w when !mReady -> onWelcome(w);
            default -> completeCall(envelope);
        }
    }

    private void sendHello(PeerMessage.Challenge challenge) {
        String name = mSelf.instance().value();
        long incarnation = mSelf.incarnation().value();
        String proof =
                mAuthenticator.proof(
                        PeerAuthenticator.Role.CONNECTING, challenge.nonce(), name, incarnation);
        send(0, EnvelopeKind.HANDSHAKE, new PeerMessage.Hello(name, incarnation, mNonce, proof));
    }

    private void onWelcome(PeerMessage.Welcome w) {
        if (!mAuthenticator.isValid(
                w.proof(),
                PeerAuthenticator.Role.ACCEPTING,
                mNonce,
                w.instance(),
                w.incarnation())) {
            fail("the peer lacks the shared key");
            return;
        }
        mReady = true;
        List.copyOf(mReadyEmitters).forEach(e -> e.complete(this));
        mReadyEmitters.clear();
    }

    private void completeCall(Envelope envelope) {
        UniEmitter<? super PeerMessage> emitter = mPending.remove(envelope.call());
        if (emitter == null) {
            return;
        }
        if (envelope.message() instanceof PeerMessage.Failure f) {
            emitter.fail(failure(Delivery.MAY_HAVE_RUN, f.message()));
        } else {
            emitter.complete(envelope.message());
        }
    }

    private void send(long call, EnvelopeKind kind, PeerMessage message) {
        mSocket.ifPresent(
                s -> s.write(mFrames.encode(new Envelope(Envelope.VERSION, call, kind, message))));
    }

    private void failUnlessReady() {
        if (!mReady) {
            fail("the handshake timed out");
        }
    }

    private void fail(String message) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mSocket.ifPresent(NetSocket::close);
        List.copyOf(mReadyEmitters).forEach(e -> e.fail(failure(Delivery.NOT_DELIVERED, message)));
        List.copyOf(mPending.values())
                .forEach(e -> e.fail(failure(Delivery.MAY_HAVE_RUN, message)));
        mReadyEmitters.clear();
        mPending.clear();
    }

    private CallException failure(Delivery delivery, String message) {
        return new CallException(Step.PEER_CALL, mPeer.toString(), delivery, message);
    }
}
