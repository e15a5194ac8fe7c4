import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Two daemons lose their path to the store without notice, and a server announces its leaving right
 * after. Do the others, which reach the store, stop sending to it within drainMs?
 */
final class TwoCut {
    private static final int DRAIN_MS = 2_000;
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-status","host":"shop.example","prefix":"/status/",\
            "kind":"idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"service":"app",\
            "maxAttempts":2,"public":false,"sticky":false,"resumable":false}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";

    private TwoCut() {}

    public static void main(String[] args) {
        Lab.run(args[0], TwoCut::run);
    }

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
        List<Lab.Daemon> cut = byAge.subList(0, 2);
        List<Lab.Daemon> others = byAge.subList(2, 5);
        if (lab.trouble) {
            link.cut(cut);
        }
        Lab.sleep(50);
        Lab.Server leaving = servers.get(0);
        lab.left = true;
        store.put("servers/" + leaving.id, leaving.entry("draining"));
        long confirmed = Lab.now();
        Lab.sleep(DRAIN_MS + 150);
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 6; i++) {
                Lab.Daemon d = others.get(i % others.size());
                String id = "a" + round + "-" + i;
                Lab.start("client", () -> send(lab, d, id));
            }
            Lab.sleep(120);
        }
        Lab.sleep(1_500);
        long late =
                arrivals.stream()
                        .filter(a -> a.at() > confirmed + DRAIN_MS)
                        .filter(a -> a.request().startsWith(leaving.id))
                        .count();
        lab.note("confirmed at " + confirmed + "; arrivals at the leaving server later than "
                + DRAIN_MS + " ms after it: " + late);
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
                String leaving = id.equals("i-1") && lab.left ? "Server-Leaving: 1\r\n" : "";
                out.write(Lab.answer(200, seal(m) + leaving, Lab.ascii("ok")));
            }
        };
    }
}
