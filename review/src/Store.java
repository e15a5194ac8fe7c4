import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: kv-key, kv-range and kv-watch, linearizable, never impaired. */
final class Store implements AutoCloseable {
    private record Event(long revision, String json) {}

    private final ServerSocket mSocket;
    private final TreeMap<String, String> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final List<Connection> mOpen = new ArrayList<>();
    private long mRevision = 100;

    private static final class Connection {
        private volatile boolean mSilent;
    }

    Store() throws IOException {
        mSocket = new ServerSocket(Play.freePort("127.0.0.1"), 256, InetAddress.getByName("127.0.0.1"));
        Thread.startVirtualThread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    /** Writes an item; the return is the store's confirmation. */
    synchronized void put(String key, String value) {
        mRevision++;
        String item =
                "\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0"
                        .formatted(
                                key,
                                Base64.getEncoder()
                                        .encodeToString(value.getBytes(StandardCharsets.UTF_8)),
                                mRevision,
                                mRevision);
        mItems.put(key, item);
        mEvents.add(new Event(mRevision, "{" + item + "}"));
        notifyAll();
    }

    /** Removes an item. */
    synchronized void remove(String key) {
        mRevision++;
        mItems.remove(key);
        mEvents.add(
                new Event(
                        mRevision,
                        "{\"key\":\"%s\",\"revision\":%d,\"tombstone\":true}"
                                .formatted(key, mRevision)));
        notifyAll();
    }

    /**
     * Lets all connections that are open now go silent for good, without a reset; new ones work.
     */
    synchronized int silenceOpenConnections() {
        mOpen.forEach(c -> c.mSilent = true);
        int count = mOpen.size();
        mOpen.clear();
        return count;
    }

    private synchronized Connection opened() {
        Connection c = new Connection();
        mOpen.add(c);
        return c;
    }

    private synchronized void closed(Connection c) {
        mOpen.remove(c);
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket s = mSocket.accept();
                Thread.startVirtualThread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        Connection connection = opened();
        try (s) {
            s.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                Http.readBody(in, head);
                String uri = head.first().split(" ")[1];
                String answer = answer(uri.split("\\?")[0], query(uri));
                if (connection.mSilent) {
                    s.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                    return;
                }
                byte[] body =
                        (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
                String status = answer == null ? "404 Not Found" : "200 OK";
                s.getOutputStream()
                        .write(
                                ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
                                                + "Content-Length: " + body.length + "\r\n\r\n")
                                        .getBytes(StandardCharsets.ISO_8859_1));
                s.getOutputStream().write(body);
                s.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        } finally {
            closed(connection);
        }
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        if (uri.contains("?")) {
            for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
                String[] kv = pair.split("=", 2);
                query.put(
                        kv[0],
                        kv.length > 1 ? URLDecoder.decode(kv[1], StandardCharsets.UTF_8) : "");
            }
        }
        return query;
    }

    private synchronized String answer(String path, Map<String, String> query)
            throws InterruptedException {
        switch (path) {
            case "/v1/kv-key":
                String item = mItems.get(query.get("key"));
                return item == null ? null : "{" + item + ",\"currentRev\":" + mRevision + "}";
            case "/v1/kv-range":
                List<String> items = new ArrayList<>();
                mItems.forEach(
                        (k, v) -> {
                            if (k.startsWith(query.get("prefix"))
                                    && k.compareTo(query.getOrDefault("after", "")) > 0) {
                                items.add("{" + v + "}");
                            }
                        });
                return "{\"items\":[%s],\"morePages\":false,\"currentRev\":%d}"
                        .formatted(String.join(",", items), mRevision);
            case "/v1/kv-watch":
                return watch(
                        query.getOrDefault("prefix", ""),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("waitMs")));
            default:
                return null;
        }
    }

    private String watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (mRevision <= after && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        List<String> events =
                mEvents.stream()
                        .filter(e -> e.revision() > after)
                        .map(Event::json)
                        .filter(j -> j.startsWith("{\"key\":\"" + prefix))
                        .toList();
        return "{\"events\":[%s],\"currentRev\":%d}"
                .formatted(String.join(",", events), mRevision);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
