package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;

/** Opens the ports of a daemon's servers. */
final class Listening {
    private Listening() {}

    /** Has the server listen; completes once it does. */
    static Uni<Void> on(Address address, HttpServer server) {
        return Uni.createFrom()
                .completionStage(
                        () -> server.listen(address.port(), address.host()).toCompletionStage())
                .replaceWithVoid();
    }
}
