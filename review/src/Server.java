import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a server: reads requests whole, one at a time on a connection. */
final class Server implements AutoCloseable {
    final String id;
    private final int mPort;
    private final int mReceiveBuffer;
    private final Handler mHandler;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mSocket;

    /** What the server does with a request. */
    interface Handler {
        /** Handles a request; the body hasn't been read. */
        void handle(Server server, Http.Head head, InputStream in, OutputStream out, Socket s)
                throws IOException, InterruptedException;
    }

    Server(String id, int receiveBuffer, Handler handler) throws IOException {
        this.id = id;
        mReceiveBuffer = receiveBuffer;
        mHandler = handler;
        mPort = Play.freePort("127.0.0.1");
        listen(mPort);
    }

    private void listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        if (mReceiveBuffer > 0) {
            socket.setReceiveBufferSize(mReceiveBuffer);
        }
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        mSocket = socket;
        Thread.startVirtualThread(() -> accept(socket));
    }

    String address() {
        return "127.0.0.1:" + mPort;
    }

    /** Crashes: the port refuses connections and the open ones are reset. */
    void crash() throws IOException {
        mSocket.close();
        for (Socket s : mOpen) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // It was closed already.
            }
        }
    }

    /** Returns whether the server runs. */
    boolean isUp() {
        return !mSocket.isClosed();
    }

    /** Starts again at the address that it had. */
    void restart() throws IOException {
        listen(mPort);
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket s = socket.accept();
                mOpen.add(s);
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(s.getInputStream(), 8192);
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                if (!head.header("x-expect-instance").isEmpty()
                        && !head.header("x-expect-instance").equals(id)) {
                    Http.readBody(in, head);
                    write(s.getOutputStream(), "421 Misdirected Request", "X-Instance-Id: " + id, "");
                    continue;
                }
                mHandler.handle(this, head, in, s.getOutputStream(), s);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone, or the server has crashed.
        } finally {
            mOpen.remove(s);
        }
    }

    /** Writes an answer with a length. */
    static void write(OutputStream out, String status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(
                ("HTTP/1.1 " + status + "\r\n" + headers + "\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
