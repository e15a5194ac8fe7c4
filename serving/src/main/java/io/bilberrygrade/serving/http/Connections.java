package io.bilberrygrade.serving.http;

import io.netty.channel.ChannelFuture;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Closes connections at once. */
public final class Connections {
    private Connections() {}

    /**
     * Closes a connection without waiting until what was written to it is sent, which may never be
     * if the other side doesn't read. Drops what waits to be sent.
     */
    public static void closeNow(HttpConnection connection) {
        // From the first handler on, past the one of Vert.x, which would wait.
        ChannelFuture unused =
                ((ConnectionBase) connection).channel().pipeline().firstContext().close();
    }
}
