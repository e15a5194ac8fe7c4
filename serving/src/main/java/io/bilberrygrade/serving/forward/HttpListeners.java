package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.identity.Address;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;

/** Binds HTTP servers to their addresses. */
final class HttpListeners {
    private HttpListeners() {}

    /** Starts listening; completes once the port is open. */
    static Uni<Void> listen(Address address, HttpServer server) {
        return Uni.createFrom()
                .completionStage(
                        () -> server.listen(address.port(), address.host()).toCompletionStage())
                .replaceWithVoid();
    }
}
