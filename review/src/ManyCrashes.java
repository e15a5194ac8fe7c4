import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A request crashes each server that begins to run it, and comes again. Beside it, servers crash one
 * at a time for other causes. Does the fleet still know the request afterwards?
 */
final class ManyCrashes {
    private static final int DAEMONS = 4;
    private static final int SERVERS = 3;
    private static final int CLIENTS_PER_DAEMON = 5;
    private static final long WORK_MILLIS = 150;

    /** Time for which a server is down that the request has crashed. */
    private static final long DOWN_MILLIS = 2_000;

    /** Time for which a server is down that has crashed for another cause. */
    private static final long OTHER_DOWN_MILLIS = 1_400;

    /** stabilityWindowMs of the small site. */
    private static final long STABILITY_MILLIS = 3_000;

    /** Pause between two crashes for other causes; one server is down at a time. */
    private static final long CRASH_PAUSE_MILLIS = 1_600;

    /** Pause between two arrivals of the request that crashes servers. */
    private static final long DEADLY_PAUSE_MILLIS = 2_100;

    private static final long LENGTH_MILLIS = 104_000;
    private static final int ALLOWED = 3;
    private static final String DEADLY = "/topup/deadly";

    /** Requests that crash servers; 5 of them, and OTHERS=0, show the same with one disruption. */
    private static final int DEADLY_REQUESTS =
            Integer.parseInt(System.getenv().getOrDefault("DEADLY", "1"));

    private final Play mPlay;
    private final List<Server> mServers = new ArrayList<>();
    private final AtomicInteger mDeadlyCrashes = new AtomicInteger();
    private final AtomicInteger mOtherCrashes = new AtomicInteger();
    private final int[] mCrashesOf = new int[DEADLY_REQUESTS];
    private final int[] mLateOf = new int[DEADLY_REQUESTS];
    private final long[] mThirdCrashAt = new long[DEADLY_REQUESTS];
    private final AtomicLong mDeadlySentAt = new AtomicLong();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicBoolean mStop = new AtomicBoolean();

    private ManyCrashes(Play play) {
        mPlay = play;
    }

    public static void main(String[] args) throws IOException {
        Play.run(args[0], p -> new ManyCrashes(p).run());
    }

    private int run() throws Exception {
        mPlay.store.put(
                "op/config",
                Play.config(
                        7,
                        Play.route("r1", "/topup/", "non_idempotent", 1500, 193, "paygo", false),
                        15000,
                        Play.tenant("t1", "k1")));
        for (int i = 0; i < SERVERS; i++) {
            Server s =
                    new Server(
                            "i-" + i,
                            0,
                            (server, head, in, out, socket) -> {
                                Http.readBody(in, head);
                                String id = head.header("x-attempt-id");
                                String path = head.first().split(" ")[1];
                                if (path.startsWith(DEADLY)) {
                                    int request =
                                            Integer.parseInt(path.substring(DEADLY.length()));
                                    onDeadly(server, request, id);
                                    return;
                                }
                                Thread.sleep(WORK_MILLIS);
                                Server.write(
                                        out,
                                        "200 OK",
                                        "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id,
                                        "x".repeat(800));
                            });
            mServers.add(s);
            register(s);
        }
        List<Play.Daemon> daemons = mPlay.startDaemons(DAEMONS);
        for (Play.Daemon d : daemons) {
            for (int c = 0; c < CLIENTS_PER_DAEMON; c++) {
                int client = c;
                Thread.startVirtualThread(() -> ask(d, client));
            }
        }
        Thread.sleep(5000);
        if (mPlay.trouble && !"0".equals(System.getenv("OTHERS"))) {
            Thread.startVirtualThread(this::crashOthers);
        }
        for (int n = 0; mPlay.millis() < LENGTH_MILLIS && mostLate() <= ALLOWED; n++) {
            sendDeadly(daemons.get(n % DAEMONS), n);
            Thread.sleep(DEADLY_PAUSE_MILLIS);
        }
        mStop.set(true);
        mPlay.log(
                "%d served, %d failed; servers crashed %d times by requests, %d times for other"
                        + " causes; one such request reached servers %d times, sent later than"
                        + " stabilityWindowMs after the third crash (%d are allowed)",
                mServed.get(), mFailed.get(), mDeadlyCrashes.get(), mOtherCrashes.get(),
                mostLate(), ALLOWED);
        return mostLate() > ALLOWED ? Play.BROKEN : Play.HELD;
    }

    private void register(Server s) {
        mPlay.store.put(
                "servers/" + s.id,
                Play.entry("paygo", s.address(), 6, "ready", System.currentTimeMillis()));
    }

    private void onDeadly(Server server, int request, String id) throws IOException {
        boolean late;
        synchronized (mCrashesOf) {
            late =
                    mCrashesOf[request] >= 3
                            && mDeadlySentAt.get() - mThirdCrashAt[request] > STABILITY_MILLIS;
            mLateOf[request] += late ? 1 : 0;
            mCrashesOf[request]++;
            if (mCrashesOf[request] == 3) {
                mThirdCrashAt[request] = mPlay.millis();
            }
        }
        mDeadlyCrashes.incrementAndGet();
        mPlay.log("RUN %s crashes %s%s", id, server.id, late ? " LATE" : "");
        crash(server, DOWN_MILLIS);
    }

    /** Returns how often the request that reached servers most did so later than allowed. */
    private int mostLate() {
        synchronized (mCrashesOf) {
            return Arrays.stream(mLateOf).max().orElseThrow();
        }
    }

    private synchronized void crash(Server server, long downMillis) throws IOException {
        server.crash();
        Thread.startVirtualThread(
                () -> {
                    try {
                        Thread.sleep(downMillis);
                        server.restart();
                        register(server);
                    } catch (IOException | InterruptedException e) {
                        mPlay.log("%s could not start again: %s", server.id, e);
                    }
                });
    }

    /** Crashes one server at a time, while all others are up. */
    private void crashOthers() {
        try {
            for (int n = 0; !mStop.get(); n++) {
                Server s = mServers.get(n % SERVERS);
                synchronized (this) {
                    if (mServers.stream().allMatch(Server::isUp)) {
                        mOtherCrashes.incrementAndGet();
                        mPlay.log("%s crashes for another cause", s.id);
                        crash(s, OTHER_DOWN_MILLIS);
                    }
                }
                Thread.sleep(CRASH_PAUSE_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            mPlay.log("no more servers crash: %s", e);
        }
    }

    private void sendDeadly(Play.Daemon d, int n) {
        String id = "dead%03x".formatted(n);
        mDeadlySentAt.set(mPlay.millis());
        try (Socket s = new Socket(d.host(), d.front())) {
            s.setSoTimeout(2500);
            s.getOutputStream().write(request(DEADLY + n % DEADLY_REQUESTS, id));
            Http.Head head = Http.readHead(s.getInputStream());
            String text =
                    head == null
                            ? "closed"
                            : head.status() + " "
                                    + new String(Http.readBody(s.getInputStream(), head)).strip();
            mPlay.log("%s to %s: %s", id, d.host(), text);
        } catch (IOException e) {
            mPlay.log("%s to %s: %s", id, d.host(), e);
        }
    }

    private static byte[] request(String path, String id) {
        return ("POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: 1500\r\nApi-Key: k1\r\nContent-Length: 10\r\n\r\n"
                        + "{\"amt\": 5}")
                .getBytes();
    }

    /** Sends sound requests one after the other on a kept connection. */
    private void ask(Play.Daemon d, int client) {
        String name = d.host().substring(d.host().lastIndexOf('.') + 1) + "c" + client;
        for (int n = 0; !mStop.get(); ) {
            try (Socket s = new Socket(d.host(), d.front())) {
                s.setSoTimeout(3000);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (!mStop.get()) {
                    String id = name + "n" + n++;
                    s.getOutputStream().write(request("/topup/" + id, id));
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        break;
                    }
                    Http.readBody(in, head);
                    (head.status() == 200 ? mServed : mFailed).incrementAndGet();
                    Thread.sleep(40);
                }
            } catch (IOException e) {
                mFailed.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
