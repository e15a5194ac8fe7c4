import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All machines but one are lost. Then a request crashes each server that begins to run it, and comes
 * again. Does the machine that is left stop sending it?
 */
final class LostMachines {
    private static final int DAEMONS = 4;
    private static final int SERVERS = 3;
    private static final int CLIENTS_PER_DAEMON = 2;
    private static final long WORK_MILLIS = 150;

    /** Time for which a server is down that the request has crashed. */
    private static final long DOWN_MILLIS = 2_000;

    /** stabilityWindowMs of the small site. */
    private static final long STABILITY_MILLIS = 3_000;

    /** Pause between two arrivals of the request that crashes servers. */
    private static final long DEADLY_PAUSE_MILLIS = 2_100;

    private static final long LENGTH_MILLIS = 40_000;
    /** Time between the loss of the machines and the first such request. */
    private static final long IN_TOUCH_MILLIS = 6_000;

    /** Index of the machine that is left. */
    private static final int LEFT = 1;

    private static final int ALLOWED = 3;
    private static final String DEADLY = "/topup/deadly";

    private final Play mPlay;
    private final List<Server> mServers = new ArrayList<>();
    private final AtomicInteger mDeadlyCrashes = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicLong mThirdCrashAt = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong mDeadlySentAt = new AtomicLong();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicBoolean mStop = new AtomicBoolean();

    private LostMachines(Play play) {
        mPlay = play;
    }

    public static void main(String[] args) throws IOException {
        Play.run(args[0], p -> new LostMachines(p).run());
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
                                    onDeadly(server, id);
                                    return;
                                }
                                mPlay.log("RUN %s at %s", id, server.id);
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
        List<Play.Daemon> left = daemons;
        if (mPlay.trouble) {
            left = List.of(daemons.get(LEFT));
            for (Play.Daemon d : daemons) {
                if (!left.contains(d)) {
                    mPlay.log("the machine of %s is lost", d.host());
                    d.process().destroyForcibly();
                }
            }
        }
        Thread.sleep(IN_TOUCH_MILLIS);
        for (int n = 0; mPlay.millis() < LENGTH_MILLIS; n++) {
            sendDeadly(left.get(n % left.size()), n);
            Thread.sleep(DEADLY_PAUSE_MILLIS);
        }
        mStop.set(true);
        mPlay.log(
                "%d served, %d failed; servers crashed %d times by the request, which reached"
                        + " servers %d times, sent later than stabilityWindowMs after the third"
                        + " crash (%d are allowed)",
                mServed.get(), mFailed.get(), mDeadlyCrashes.get(), mLate.get(), ALLOWED);
        return mLate.get() > ALLOWED ? Play.BROKEN : Play.HELD;
    }

    private void register(Server s) {
        mPlay.store.put(
                "servers/" + s.id,
                Play.entry("paygo", s.address(), 6, "ready", System.currentTimeMillis()));
    }

    private void onDeadly(Server server, String id) throws IOException {
        long third = mThirdCrashAt.get();
        boolean late =
                third != Long.MAX_VALUE && mDeadlySentAt.get() - third > STABILITY_MILLIS;
        mLate.addAndGet(late ? 1 : 0);
        if (mDeadlyCrashes.incrementAndGet() == 3) {
            mThirdCrashAt.set(mPlay.millis());
        }
        mPlay.log("RUN %s crashes %s%s", id, server.id, late ? " LATE" : "");
        crash(server, DOWN_MILLIS);
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

    private void sendDeadly(Play.Daemon d, int n) {
        String id = "dead%03x".formatted(n);
        mDeadlySentAt.set(mPlay.millis());
        try (Socket s = new Socket(d.host(), d.front())) {
            s.setSoTimeout(2500);
            s.getOutputStream().write(request(DEADLY, id));
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
                    mPlay.log("%s to %s: %d", id, d.host(), head.status());
                    (head.status() == 200 ? mServed : mFailed).incrementAndGet();
                    Thread.sleep(40);
                }
            } catch (IOException e) {
                if (!d.process().isAlive()) {
                    return;
                }
                mFailed.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
