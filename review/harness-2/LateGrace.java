import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One daemon, the oldest, has lost its path to the store for some seconds. Just after that is over a
 * server leaves. Do the others, which reached the store all the while, stop sending to it within
 * drainMs?
 */
final class LateGrace {
    private static final int DRAIN_MS = 2_000;
    private static final int ROUNDS = 10;
    private static final int CUT_MS = 3_000;
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-status","host":"shop.example","prefix":"/status/",\
            "kind":"idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"service":"app",\
            "maxAttempts":2,"public":false,"sticky":false,"resumable":false}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";

    private LateGrace() {}

    public static void main(String[] args) {
        Lab.run(args[0], LateGrace::run);
    }

    private static final Set<String> LEFT = ConcurrentHashMap.newKeySet();

    private record Arrival(long at, String request) {}

    private static int run(Lab lab) throws IOException {
        Lab.Store store = lab.own(lab.new Store());
        Lab.Link link = lab.own(lab.new Link("127.0.0.1", store.port));
        store.put("op/config", CONFIG);
        List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Lab.Server> servers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Lab.Server s = lab.own(server(lab, "i-" + i, arrivals));
            servers.add(s);
            store.put("servers/" + s.id, s.entry("ready"));
        }
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            daemons.add(lab.own(lab.new Daemon("front-" + i, "z" + (i % 3), "127.0.1." + i)));
        }
        for (Lab.Daemon d : daemons) {
            d.start(link.address(), daemons.subList(0, 3));
            Lab.sleep(60);
        }
        if (!Lab.await(20_000, () -> daemons.stream().allMatch(Lab.Daemon::isReady))) {
            lab.note("the daemons didn't become ready");
            return 2;
        }
        Lab.sleep(24_000 + (long) (Math.random() * 1_100));
        List<Lab.Daemon> byAge = new ArrayList<>(daemons);
        byAge.sort(Comparator.comparingLong(Lab.Daemon::incarnation));
        List<Lab.Daemon> others = byAge.subList(2, 5);
        int late = 0;
        for (int round = 0; round < ROUNDS; round++) {
            if (lab.trouble) {
                link.refuse(byAge.get(0));
            }
            Lab.sleep(CUT_MS - 300);
            Lab.Server next = lab.own(server(lab, "i-new-" + round, arrivals));
            servers.add(next);
            store.put("servers/" + next.id, next.entry("ready"));
            Lab.sleep(300);
            link.heal();
            Lab.sleep(100);
            Lab.Server leaving = servers.removeFirst();
            LEFT.add(leaving.id);
            store.put("servers/" + leaving.id, null);
            long confirmed = Lab.now();
            Lab.sleep(DRAIN_MS + 20);
            for (int i = 0; i < 12; i++) {
                String id = "a" + round + "-" + i + "-";
                others.forEach(d -> Lab.start("client", () -> send(lab, d, id + d.name)));
                Lab.sleep(45);
            }
            Lab.sleep(500);
            for (Arrival a : List.copyOf(arrivals)) {
                if (a.at() > confirmed + DRAIN_MS && a.request().startsWith(leaving.id + " ")) {
                    late++;
                    lab.note(
                            "%s arrived %d ms after the store confirmed the removal"
                                    .formatted(a.request(), a.at() - confirmed));
                }
            }
            leaving.close();
            Lab.sleep(500);
        }
        lab.note(late + " requests reached a server later than " + DRAIN_MS
                + " ms after the store had confirmed that it is gone, in " + ROUNDS + " rounds");
        return late > 0 ? 1 : 0;
    }

    private static void send(Lab lab, Lab.Daemon d, String id) throws IOException {
        long sent = Lab.now();
        Lab.Message m =
                Lab.request(
                        d, "GET", "/status/" + id, "X-Attempt-Id: " + id + "\r\n", new byte[0], 1_000);
        lab.note("request " + id + " sent to " + d.name + " at " + sent + ": " + m.status());
    }

    private static Lab.Server server(Lab lab, String id, List<Arrival> arrivals)
            throws IOException {
        return lab.new Server(id, "app", "z1") {
            @Override
            void run(Lab.Message m, Socket s, OutputStream out) throws IOException {
                arrivals.add(new Arrival(Lab.now(), id + " " + m.path()));
                lab.note("server " + id + " runs " + m.path());
                Lab.sleep(30);
                String leaving = LEFT.contains(id) ? "Server-Leaving: 1\r\n" : "";
                out.write(Lab.answer(200, seal(m) + leaving, Lab.ascii("ok")));
            }
        };
    }
}
