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
 * The open connections to the store go silent for good, while new ones work. Later, when all daemons
 * are in touch again, a server leaves: its entry is removed. Does it still get requests after the
 * time that the rule allows?
 */
final class SilentStore {
    private static final int DAEMONS = 4;
    private static final int CLIENTS_PER_DAEMON = 2;
    private static final long PAUSE_MILLIS = 90;

    /** drainMs of the small site. */
    private static final long DRAIN_MILLIS = 2_000;

    /** Quiet time after the disruption, twice stabilityWindowMs of the small site. */
    private static final long IN_TOUCH_MILLIS = 6_000;

    private static final long WORK_MILLIS = 43;

    /** The server that leaves serves for drainMs and a little longer, and then exits. */
    private static final long EXIT_MILLIS = 2_600;

    private static final long WATCHED_MILLIS = 7_000;
    private static final String LEAVING = "i-0";

    private SilentStore() {}

    public static void main(String[] args) throws IOException {
        Play.run(args[0], SilentStore::run);
    }

    private static int run(Play play) throws Exception {
        AtomicLong removedAt = new AtomicLong(Long.MAX_VALUE);
        AtomicLong last = new AtomicLong();
        AtomicInteger late = new AtomicInteger();
        Server.Handler app =
                (server, head, in, out, socket) -> {
                    long after = play.millis() - removedAt.get();
                    Http.readBody(in, head);
                    String id = head.header("x-attempt-id");
                    boolean left = server.id.equals(LEAVING) && after > 0;
                    play.log(
                            "RUN %s at %s%s",
                            id, server.id, left ? ", " + after + " ms after its removal" : "");
                    if (left) {
                        last.accumulateAndGet(after, Math::max);
                        late.addAndGet(after > DRAIN_MILLIS ? 1 : 0);
                    }
                    Thread.sleep(WORK_MILLIS);
                    Server.write(
                            out,
                            "200 OK",
                            "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id,
                            "x".repeat(800));
                };
        play.store.put(
                "op/config",
                Play.config(
                        7,
                        Play.route("r1", "/topup/", "non_idempotent", 1500, 193, "paygo", false),
                        15000,
                        Play.tenant("t1", "k1")));
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Server s = new Server("i-" + i, 0, app);
            servers.add(s);
            play.store.put(
                    "servers/" + s.id,
                    Play.entry("paygo", s.address(), 6, "ready", 1_796_000_000_000L + i));
        }
        List<Play.Daemon> daemons = play.startDaemons(DAEMONS);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Play.Daemon d : daemons) {
            for (int c = 0; c < CLIENTS_PER_DAEMON; c++) {
                int client = c;
                clients.add(
                        Thread.startVirtualThread(() -> ask(play, d, client, stop, served, failed)));
            }
        }
        Thread.sleep(6000);
        if (play.trouble) {
            play.log(
                    "%d open connections to the store go silent",
                    play.store.silenceOpenConnections());
        }
        Thread.sleep(IN_TOUCH_MILLIS);
        play.store.remove("servers/" + LEAVING);
        removedAt.set(play.millis());
        play.log("the entry of %s was removed", LEAVING);
        Thread.sleep(EXIT_MILLIS);
        servers.getFirst().crash();
        play.log("%s exits", LEAVING);
        Thread.sleep(WATCHED_MILLIS - EXIT_MILLIS);
        stop.set(true);
        for (Thread t : clients) {
            t.join();
        }
        play.log(
                "%d served, %d failed; last request at %s %d ms after its removal, %d later than"
                        + " drainMs (%d ms)",
                served.get(), failed.get(), LEAVING, last.get(), late.get(), DRAIN_MILLIS);
        return late.get() > 0 ? Play.BROKEN : Play.HELD;
    }

    /** Sends requests one after the other on a kept connection. */
    private static void ask(
            Play play,
            Play.Daemon d,
            int client,
            AtomicBoolean stop,
            AtomicInteger ok,
            AtomicInteger bad) {
        String name = d.host().substring(d.host().lastIndexOf('.') + 1) + "c" + client;
        for (int n = 0; !stop.get(); ) {
            try (Socket s = new Socket(d.host(), d.front())) {
                s.setSoTimeout(3000);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (!stop.get()) {
                    String id = name + "n" + n++;
                    s.getOutputStream()
                            .write(
                                    ("POST /topup/" + id + " HTTP/1.1\r\nHost: site.example\r\n"
                                                    + "X-Attempt-Id: " + id
                                                    + "\r\nX-Deadline-Ms: 1500\r\nApi-Key: k1\r\n"
                                                    + "Content-Length: 10\r\n\r\n{\"amt\": 5}")
                                            .getBytes());
                    Http.Head head = Http.readHead(in);
                    if (head == null) {
                        break;
                    }
                    String body = new String(Http.readBody(in, head)).strip();
                    play.log(
                            "%s to %s: %d%s",
                            id, d.host(), head.status(),
                            head.status() == 200 ? "" : " " + body);
                    (head.status() == 200 ? ok : bad).incrementAndGet();
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                bad.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
