import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of prompts crashes each server that begins to write an answer on it, in the middle of its
 * second event. Do such requests stop reaching servers, and are sound ones served?
 */
final class Tainted {
    private static final int STABILITY_MS = 3_000;
    private static final int SERVERS = 8;
    private static final int BACK_AFTER_MS = 4_000;
    private static final int PAUSE_MS = 150;
    private static final int PIECES = 12;
    private static final String TAINTED = "dead";
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-ask","host":"shop.example","prefix":"/ask/",\
            "kind":"streaming","timeoutMs":10000,"goalMs":300,"priority":1,"service":"llm",\
            "maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":200}],\
            "services":[{"name":"llm","healthPath":"/health","maxConns":274,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";

    private final Lab mLab;
    private final Lab.Store mStore;
    private final Map<Integer, Lab.Server> mServers = new ConcurrentHashMap<>();
    private final List<Long> mCrashes = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> mTaintedArrivals = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> mBegun = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> mSound = new ConcurrentHashMap<>();
    private final AtomicInteger mAnswered = new AtomicInteger();

    private Tainted(Lab lab, Lab.Store store) {
        mLab = lab;
        mStore = store;
    }

    public static void main(String[] args) {
        Lab.run(args[0], lab -> new Tainted(lab, lab.own(lab.new Store())).run());
    }

    private int run() throws IOException {
        mStore.put("op/config", CONFIG);
        for (int i = 0; i < SERVERS; i++) {
            startServer(i, "llm-" + i);
        }
        List<Lab.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            daemons.add(mLab.own(mLab.new Daemon("front-" + i, "z" + i, "127.0.1." + i)));
        }
        for (Lab.Daemon d : daemons) {
            d.start(mStore.address(), daemons);
        }
        if (!Lab.await(20_000, () -> daemons.stream().allMatch(Lab.Daemon::isReady))) {
            return 2;
        }
        Lab.sleep(3_000);
        long start = Lab.now();
        long taintedFrom = start + 10_000;
        long end = start + 50_000;
        for (int tick = 0; Lab.now() < end; tick++) {
            Lab.Daemon d = daemons.get(tick % 2);
            int number = tick;
            Lab.start("sound", () -> send(d, "s" + number, "5c1e07a2:40,1" + number + ":4000"));
            if (mLab.trouble && Lab.now() >= taintedFrom && tick % 6 == 0) {
                String parts = "5c1e07a2:40," + TAINTED + ":400,2" + number + ":4000";
                Lab.start("tainted", () -> send(daemons.get(number / 6 % 2), "t" + number, parts));
            }
            Lab.sleep(start + (tick + 1) * 170L - Lab.now());
        }
        Lab.sleep(3_000);
        return judge(start, taintedFrom, end);
    }

    private int judge(long start, long taintedFrom, long end) {
        double before = share(start, taintedFrom);
        mLab.note(
                "sound requests: %d, answered whole %d; begun at the first attempt before: %.2f"
                        .formatted(mSound.size(), mAnswered.get(), before));
        mLab.note(mCrashes.size() + " crashes at " + mCrashes);
        mLab.note(mTaintedArrivals.size() + " arrivals of the part at " + mTaintedArrivals);
        if (mCrashes.size() < 5) {
            return 0;
        }
        long fifth = mCrashes.get(4);
        long late = mTaintedArrivals.stream().filter(t -> t > fifth + STABILITY_MS).count();
        double after = share(fifth + 2 * STABILITY_MS, end);
        mLab.note(
                "%d requests with the part reached servers later than %d ms after the fifth crash"
                        .formatted(late, STABILITY_MS));
        mLab.note("begun at the first attempt from 6 s after the fifth crash: %.2f".formatted(after));
        return late > 3 || after < before / 2 ? 1 : 0;
    }

    private double share(long from, long to) {
        List<String> sent =
                mSound.entrySet().stream()
                        .filter(e -> e.getValue() >= from && e.getValue() < to)
                        .map(Map.Entry::getKey)
                        .toList();
        return sent.stream().filter(mBegun::contains).count() / (double) Math.max(1, sent.size());
    }

    private void send(Lab.Daemon d, String id, String parts) throws IOException {
        if (id.startsWith("s")) {
            mSound.put(id, Lab.now());
        }
        String headers =
                "X-Attempt-Id: " + id + "\r\nX-Model: m\r\nX-Token-Count: 4400,1600\r\n"
                        + "X-Prompt-Prefix: " + parts + "\r\n";
        try {
            Lab.Message m =
                    Lab.request(d, "POST", "/ask/" + id, headers, Lab.ascii("prompt " + id), 10_000);
            mLab.note("client: " + id + " by " + d.name + ": " + m.status()
                    + (m.status() == 200 ? "" : " " + m.text().strip()));
            if (m.status() == 200 && id.startsWith("s")) {
                mAnswered.incrementAndGet();
            }
        } catch (IOException e) {
            mLab.note("client: " + id + " by " + d.name + ": " + e.getMessage());
        }
    }

    private void startServer(int number, String id) throws IOException {
        Lab.Server server =
                mLab.new Server(id, "llm", "z1") {
                    private boolean mCrashed;

                    @Override
                    void run(Lab.Message m, Socket s, OutputStream out) throws IOException {
                        String request = m.header("X-Attempt-Id");
                        boolean tainted = m.header("X-Prompt-Prefix").contains(TAINTED);
                        if (tainted) {
                            mTaintedArrivals.add(Lab.now());
                        }
                        Lab.sleep(100);
                        if (!open.contains(s)) {
                            return;
                        }
                        mBegun.add(request);
                        out.write(
                                Lab.ascii(
                                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                                + seal(m)
                                                + "Transfer-Encoding: chunked\r\n\r\n"));
                        String resumed = m.header("Last-Event-Id");
                        int first = resumed == null ? 1 : Integer.parseInt(resumed) + 1;
                        for (int i = first; i <= PIECES; i++) {
                            String e = "id: " + i + "\ndata: " + "y".repeat(60) + "\n\n";
                            boolean crashing = tainted && i > first;
                            write(out, crashing ? e.substring(0, 30) : e);
                            if (crashing) {
                                crashAndReturn();
                                return;
                            }
                            Lab.sleep(PAUSE_MS);
                        }
                        out.write(Lab.ascii("0\r\n\r\n"));
                    }

                    private void write(OutputStream out, String e) throws IOException {
                        out.write(Lab.ascii(Integer.toHexString(e.length()) + "\r\n" + e + "\r\n"));
                        out.flush();
                    }

                    private synchronized void crashAndReturn() throws IOException {
                        if (mCrashed) {
                            return;
                        }
                        mCrashed = true;
                        mCrashes.add(Lab.now());
                        mLab.note("server " + id + " crashes");
                        crash();
                        Lab.sleep(BACK_AFTER_MS);
                        mStore.put("servers/" + id, null);
                        startServer(number, "llm-" + number + "-" + Lab.now());
                    }
                };
        mLab.own(server);
        mServers.put(number, server);
        mStore.put("servers/" + id, server.entry("ready"));
    }
}
