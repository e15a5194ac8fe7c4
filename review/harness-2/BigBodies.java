import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Audits with long bodies, at the rate of the sheet, then a burst of them. Does each request get a
 * final answer by its route's timeoutMs?
 */
final class BigBodies {
    private static final int TIMEOUT_MS = 15_000;

    /** Rates of the sheet: audits and lookups a second, and how much a burst multiplies audits. */
    private static final double AUDITS = 0.742;

    private static final double LOOKUPS = 2.1;
    private static final double BURST = 2.9;
    private static final int BURST_MS = 9_500;
    private static final int BEFORE_MS = 15_000;
    private static final int AFTER_MS = 12_000;

    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-audit","host":"shop.example","prefix":"/audit/",\
            "kind":"streaming","timeoutMs":15000,"goalMs":3000,"priority":1,"service":"llm",\
            "maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":800},\
            {"name":"r-status","host":"shop.example","prefix":"/status/",\
            "kind":"idempotent","timeoutMs":1500,"goalMs":193,"priority":2,"service":"app",\
            "maxAttempts":2,"public":false,"sticky":false,"resumable":false}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",\
            "tls":false},{"name":"llm","healthPath":"/health","maxConns":344,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";

    private BigBodies() {}

    public static void main(String[] args) {
        Lab.run(args[0], BigBodies::run);
    }

    /** A request of a client; the answer is final once it is whole or the connection is closed. */
    private static final class Sent {
        final long at = Lab.now();
        final int timeout;
        volatile long endedAt = Long.MAX_VALUE;

        Sent(int timeout) {
            this.timeout = timeout;
        }
    }

    private static int run(Lab lab) throws IOException {
        Lab.Store store = lab.own(lab.new Store());
        store.put("op/config", CONFIG);
        for (int i = 1; i <= 6; i++) {
            Lab.Server s = lab.own(server(lab, "i-" + i, i <= 2 ? "app" : "llm"));
            store.put("servers/" + s.id, s.entry("ready"));
        }
        Lab.Daemon d = lab.own(lab.new Daemon("front-1", "z1", "127.0.1.1"));
        d.start(store.address(), List.of(d));
        if (!Lab.await(20_000, d::isReady)) {
            return 2;
        }
        byte[] body = new byte[4_190_000];
        Arrays.fill(body, (byte) 'x');
        List<Sent> sent = new CopyOnWriteArrayList<>();
        long start = Lab.now();
        int burstFrom = BEFORE_MS;
        int burstTo = BEFORE_MS + BURST_MS;
        double audits = 0;
        double lookups = 0;
        int count = 0;
        for (long t = 0; t < burstTo + AFTER_MS; t = Lab.now() - start) {
            boolean burst = lab.trouble && t >= burstFrom && t < burstTo;
            audits += 0.02 * AUDITS * (burst ? BURST : 1);
            lookups += 0.02 * LOOKUPS;
            if (audits >= 1) {
                audits--;
                send(lab, d, sent, "POST", "/audit/", count++, body, TIMEOUT_MS);
            }
            if (lookups >= 1) {
                lookups--;
                send(lab, d, sent, "GET", "/status/", count++, new byte[0], 1_500);
            }
            Lab.sleep(start + t + 20 - Lab.now());
        }
        Lab.sleep(TIMEOUT_MS + 1_000);
        List<Sent> due = new ArrayList<>();
        for (Sent s : sent) {
            if (s.endedAt > s.at + s.timeout) {
                due.add(s);
            }
        }
        long late = due.stream().filter(s -> s.endedAt > s.at + s.timeout + 500).count();
        boolean broken = late >= 8 && 2 * late > due.size() && 4 * late > due.size();
        lab.note(
                "%d requests; %d unanswered at their route's timeoutMs; %d of them 0.5 s later"
                        .formatted(sent.size(), due.size(), late));
        lab.note("the daemon runs: " + d.isAlive() + ", says it is ready: " + d.isReady());
        return broken ? 1 : 0;
    }

    private static void send(
            Lab lab, Lab.Daemon d, List<Sent> all, String method, String path, int number,
            byte[] body, int timeout) {
        Sent sent = new Sent(timeout);
        all.add(sent);
        String id = "r" + number;
        Lab.start(
                "client",
                () -> {
                    String result;
                    try {
                        Lab.Message m =
                                Lab.request(
                                        d,
                                        method,
                                        path + id,
                                        "X-Attempt-Id: " + id + "\r\n"
                                                + (body.length == 0 ? "" : prompt(number)),
                                        body,
                                        timeout + 3_000);
                        result = m.status() + (m.status() == 200 ? "" : " " + m.text().strip());
                    } catch (java.net.SocketTimeoutException e) {
                        lab.note(path + id + " of " + sent.at + ": no answer");
                        return;
                    } catch (IOException e) {
                        result = e.getMessage();
                    }
                    sent.endedAt = Lab.now();
                    lab.note(path + id + " of " + sent.at + " ended after "
                            + (sent.endedAt - sent.at) + " ms: " + result);
                });
    }

    private static String prompt(int number) {
        return "X-Model: m\r\nX-Token-Count: 1000000,80\r\nX-Prompt-Prefix: 5c1e07a2:40,"
                + Integer.toHexString(0xa0000 + number)
                + ":999960\r\n";
    }

    private static Lab.Server server(Lab lab, String id, String service) throws IOException {
        return lab.new Server(id, service, "z1") {
            @Override
            void run(Lab.Message m, Socket s, OutputStream out) throws IOException {
                lab.note("server " + id + " runs " + m.path() + ", body " + m.body.length);
                if (service.equals("app")) {
                    Lab.sleep(43);
                    out.write(Lab.answer(200, seal(m), Lab.ascii("x".repeat(800))));
                    return;
                }
                m.body = new byte[0];
                Lab.sleep(2_800);
                out.write(
                        Lab.ascii(
                                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                        + seal(m)
                                        + "Transfer-Encoding: chunked\r\n\r\n"));
                for (int i = 1; i <= 17; i++) {
                    String e = "id: " + i + "\ndata: " + "x".repeat(50) + "\n\n";
                    out.write(Lab.ascii(Integer.toHexString(e.length()) + "\r\n" + e + "\r\n"));
                    out.flush();
                    Lab.sleep(650);
                }
                out.write(Lab.ascii("0\r\n\r\n"));
            }
        };
    }
}
