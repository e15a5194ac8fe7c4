import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each server that runs it, and comes again. Servers crash for other causes
 * too, one after the other. Does the request stay held back?
 */
final class Forgotten {
    private static final int STABILITY_MS = 3_000;
    private static final int SERVERS = 7;
    private static final int BACK_AFTER_MS = 2_500;
    private static final int CRASH_INTERVAL_MS = 2_900;
    private static final int PLAY_MS = 90_000;
    private static final String FATAL = "/order/fatal";
    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-order","host":"shop.example","prefix":"/order/",\
            "kind":"non_idempotent","timeoutMs":1500,"goalMs":193,"priority":2,"service":"app",\
            "maxAttempts":1,"public":false,"sticky":false,"resumable":false}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":110,"protocol":"h1",\
            "tls":false}],\
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000},"tenants":[{"name":"team-one","apiKeys":["key-of-team-one"]}]}""";

    private final Lab mLab;
    private final Lab.Store mStore;
    private final List<Long> mFatalArrivals = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger mOtherCrashes = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();

    /** Set while some server is to crash in the middle of the next request that it runs. */
    private final AtomicBoolean mNextCrashes = new AtomicBoolean();

    private final Set<String> mDown = ConcurrentHashMap.newKeySet();

    private Forgotten(Lab lab, Lab.Store store) {
        mLab = lab;
        mStore = store;
    }

    public static void main(String[] args) {
        Lab.run(args[0], lab -> new Forgotten(lab, lab.own(lab.new Store())).run());
    }

    private int run() throws IOException {
        mStore.put("op/config", CONFIG);
        for (int i = 0; i < SERVERS; i++) {
            startServer("app-" + i);
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
        long nextCrash = start + 10_000;
        for (int tick = 0; Lab.now() < start + PLAY_MS; tick++) {
            int number = tick;
            Lab.Daemon d = daemons.get(tick % 2);
            Lab.start("sound", () -> send(d, "/order/" + number, "s" + number));
            if (tick % 12 == 0) {
                Lab.Daemon other = daemons.get(tick / 12 % 2);
                Lab.start("fatal", () -> send(other, FATAL, "f" + number));
            }
            if (mLab.trouble && Lab.now() >= nextCrash && mDown.isEmpty()) {
                nextCrash = Lab.now() + CRASH_INTERVAL_MS;
                mNextCrashes.set(true);
            }
            Lab.sleep(start + (tick + 1) * 100L - Lab.now());
        }
        Lab.sleep(2_000);
        mLab.note(mOtherCrashes.get() + " crashes for other causes; " + mAnswered.get()
                + " sound requests answered");
        mLab.note("the request reached servers at " + mFatalArrivals);
        if (mFatalArrivals.size() < 3) {
            return 2;
        }
        long third = mFatalArrivals.get(2);
        long late = mFatalArrivals.stream().filter(t -> t > third + STABILITY_MS).count();
        mLab.note(late + " retries reached servers later than " + STABILITY_MS
                + " ms after the request had crashed the third; 3 are allowed");
        return late > 3 ? 1 : 0;
    }

    private void send(Lab.Daemon d, String path, String id) throws IOException {
        try {
            Lab.Message m =
                    Lab.request(
                            d,
                            "POST",
                            path,
                            "X-Attempt-Id: " + id + "\r\n",
                            Lab.ascii("order " + path),
                            1_500);
            if (m.status() == 200) {
                mAnswered.incrementAndGet();
            } else {
                mLab.note("client: " + path + " by " + d.name + ": " + m.status() + " "
                        + m.text().strip());
            }
        } catch (IOException e) {
            mLab.note("client: " + path + " by " + d.name + ": " + e.getMessage());
        }
    }

    private void startServer(String id) throws IOException {
        Lab.Server server =
                mLab.new Server(id, "app", "z1") {
                    @Override
                    void run(Lab.Message m, Socket s, OutputStream out) throws IOException {
                        boolean fatal = m.path().equals(FATAL);
                        if (fatal) {
                            mFatalArrivals.add(Lab.now());
                        }
                        Lab.sleep(20);
                        if (fatal || mNextCrashes.compareAndSet(true, false)) {
                            mOtherCrashes.addAndGet(fatal ? 0 : 1);
                            mLab.note("server " + id + " crashes while it runs " + m.path());
                            crashAndReturn();
                            return;
                        }
                        Lab.sleep(23);
                        out.write(Lab.answer(200, seal(m), Lab.ascii("x".repeat(800))));
                    }

                    private void crashAndReturn() throws IOException {
                        mDown.add(id);
                        crash();
                        Lab.sleep(BACK_AFTER_MS);
                        mDown.remove(id);
                        startServer(id);
                    }
                };
        mLab.own(server);
        mStore.put("servers/" + id, server.entry("ready"));
    }
}
