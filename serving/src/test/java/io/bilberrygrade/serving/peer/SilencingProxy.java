package io.bilberrygrade.serving.peer;

import io.bilberrygrade.core.identity.Address;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Proxy whose open connections can go silent for good, without a reset, while new ones work. */
final class SilencingProxy {
    private static final String HOST = "127.0.0.1";

    private final Vertx mVertx;
    private final Address mTarget;
    private final NetServer mServer;
    private final AtomicInteger mOpened = new AtomicInteger();
    private final List<Relay> mRelays = new CopyOnWriteArrayList<>();

    private SilencingProxy(Vertx vertx, Address target) {
        mVertx = vertx;
        mTarget = target;
        mServer = vertx.createNetServer().connectHandler(this::open);
        mServer.listen(0, HOST).toCompletionStage().toCompletableFuture().join();
    }

    /** Starts a proxy of a server. */
    static SilencingProxy listen(Vertx vertx, Address target) {
        return new SilencingProxy(vertx, target);
    }

    Address address() {
        return new Address(HOST, mServer.actualPort());
    }

    /** Returns the number of connections that were opened. */
    int opened() {
        return mOpened.get();
    }

    void silenceOpenConnections() {
        mRelays.forEach(r -> r.mSilent = true);
    }

    private void open(NetSocket caller) {
        mOpened.incrementAndGet();
        caller.pause();
        mVertx.createNetClient()
                .connect(mTarget.port(), mTarget.host())
                .onSuccess(server -> mRelays.add(new Relay(caller, server)));
    }

    private static final class Relay {
        private volatile boolean mSilent;

        Relay(NetSocket caller, NetSocket server) {
            relay(caller, server);
            relay(server, caller);
            caller.resume();
        }

        private void relay(NetSocket from, NetSocket to) {
            from.handler(
                    data -> {
                        if (!mSilent) {
                            to.write(data);
                        }
                    });
            from.closeHandler(
                    v -> {
                        if (!mSilent) {
                            to.close();
                        }
                    });
        }
    }
}
