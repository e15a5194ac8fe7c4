import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer without a length before they have read a long body, and one of each service
 * crashes in the middle of its answers. Does the caller take the part that came for the whole answer?
 */
final class Unframed {
    private static final int REQUESTS = 14;
    private static final int PIECES = 6;
    private static final int BODY_BYTES = 4_000_000;
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-audit","host":"shop.example","prefix":"/audit/",\
            "kind":"streaming","timeoutMs":15000,"goalMs":3000,"priority":1,"service":"llm",\
            "maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":800},\
            {"name":"r-import","host":"shop.example","prefix":"/import/",\
            "kind":"non_idempotent","timeoutMs":5000,"goalMs":193,"priority":2,"service":"app",\
            "maxAttempts":1,"public":false,"sticky":false,"resumable":false}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",\
            "tls":false},{"name":"llm","healthPath":"/health","maxConns":344,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";


    /** The server of each service that has crashed. */
    private static final ConcurrentHashMap<String, String> CRASHED = new ConcurrentHashMap<>();

    private Unframed() {}

    public static void main(String[] args) {
        Lab.run(args[0], Unframed::run);
    }

    private static int run(Lab lab) throws IOException {
        Lab.Store store = lab.own(lab.new Store());
        store.put("op/config", CONFIG);
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            servers.add(lab.own(server(lab, store, "app-" + i, "app")));
            servers.add(lab.own(server(lab, store, "llm-" + i, "llm")));
        }
        servers.forEach(s -> store.put("servers/" + s.id, s.entry("ready")));
        Lab.Daemon d = lab.own(lab.new Daemon("front-1", "z1", "127.0.1.1"));
        d.start(store.address(), List.of(d));
        if (!Lab.await(20_000, d::isReady)) {
            return 2;
        }
        Lab.sleep(1_000);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        for (String route : List.of("import", "audit")) {
            for (int i = 0; i < REQUESTS; i++) {
                String name = route + "-" + i;
                Lab.start("client", () -> send(lab, d, route, name, body, wrong, whole));
            }
            Lab.sleep(6_000);
        }
        lab.note(
                "%d requests, %d crashes; %d whole answers; %d successes with a part of the body"
                        .formatted(2 * REQUESTS, CRASHED.size(), whole.get(), wrong.get()));
        boolean sound = lab.trouble ? CRASHED.size() == 2 : whole.get() == 2 * REQUESTS;
        return !sound ? 2 : wrong.get() > 0 ? 1 : 0;
    }

    private static void send(
            Lab lab,
            Lab.Daemon d,
            String route,
            String name,
            byte[] body,
            AtomicInteger wrong,
            AtomicInteger whole) {
        String path = "/" + route + "/" + name;
        String headers =
                "X-Attempt-Id: " + name + "\r\n" + (route.equals("audit") ? "X-Model: m\r\n" : "");
        try {
            Lab.Message m = Lab.request(d, "POST", path, headers, body, 5_000);
            boolean complete = m.text().equals(expected());
            boolean success = m.status() == 200 && m.header("X-Response-Seal") != null;
            if (success) {
                (complete ? whole : wrong).incrementAndGet();
            }
            lab.note(
                    "client: %s is answered %d, seal %s, %d of %d bytes, and ends as complete"
                            .formatted(
                                    path,
                                    m.status(),
                                    m.header("X-Response-Seal"),
                                    m.body.length,
                                    expected().length()));
        } catch (IOException e) {
            lab.note("client: " + path + " ends without a whole answer: " + e.getMessage());
        }
    }

    private static String piece(int i) {
        return "id: " + i + "\ndata: " + "y".repeat(60) + "\n\n";
    }

    private static String expected() {
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= PIECES; i++) {
            all.append(piece(i));
        }
        return all.toString();
    }

    private static Lab.Server server(Lab lab, Lab.Store store, String id, String service)
            throws IOException {
        return lab.new Server(id, service, "z1") {
            @Override
            void handle(Socket s, InputStream in, OutputStream out) throws IOException {
                Lab.Message m = Lab.head(in);
                int left = Integer.parseInt(m.header("Content-Length"));
                String resumed = m.header("Last-Event-Id");
                int first = resumed == null ? 1 : Integer.parseInt(resumed) + 1;
                lab.note("server " + id + " runs " + m.path() + " from piece " + first);
                out.write(
                        Lab.ascii(
                                "HTTP/1.1 200 OK\r\n"
                                        + (service.equals("llm")
                                                ? "Content-Type: text/event-stream\r\n"
                                                : "")
                                        + seal(m)
                                        + "Connection: close\r\n\r\n"));
                for (int i = first; i <= PIECES; i++) {
                    out.write(Lab.ascii(piece(i)));
                    out.flush();
                    Lab.sleep(100);
                    if (lab.trouble && i == PIECES / 2 && CRASHED.putIfAbsent(service, id) == null) {
                        lab.note("server " + id + " crashes, for good");
                        crash();
                        Lab.sleep(3 * 1_200);
                        store.put("servers/" + id, null);
                        return;
                    }
                }
                // The rest of the body is read after the answer.
                Lab.exactly(in, left);
                lab.note("server " + id + " has sent all of " + m.path() + " and read its body");
            }

            @Override
            void run(Lab.Message m, Socket s, OutputStream out) {
                throw new IllegalStateException("handled above");
            }
        };
    }
}
