package io.bilberrygrade.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports for servers that start shortly afterwards. The ports lie below the ephemeral
 * range, so that no outgoing connection takes one in between.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 101 % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that is free now. Calls cycle through the range, so that a process doesn't get
     * the same port twice in a short time.
     */
    public static int next() throws IOException {
        IOException lastFailure = null;
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw lastFailure == null ? new IOException("no port is free") : lastFailure;
    }
}
