import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The platform states a bound as a fraction when the daemons start again. Do they start, and are
 * requests answered?
 */
final class FractionalBound {
    private static final int DAEMONS = 4;
    private static final int REQUESTS_PER_DAEMON = 5;

    /** graceS of the small site. */
    private static final long GRACE_MILLIS = 8_000;

    private FractionalBound() {}

    public static void main(String[] args) throws IOException {
        Play.run(args[0], FractionalBound::run);
    }

    private static int run(Play play) throws Exception {
        play.store.put(
                "op/config",
                Play.config(
                        7,
                        Play.route("r1", "/balance/", "idempotent", 1500, 193, "paygo", false),
                        15000,
                        Play.tenant("t1", "k1")));
        for (int i = 0; i < 3; i++) {
            Server s =
                    new Server(
                            "i-" + i,
                            0,
                            (server, head, in, out, socket) -> {
                                Http.readBody(in, head);
                                String id = head.header("x-attempt-id");
                                play.log("RUN %s at %s", id, server.id);
                                Server.write(
                                        out,
                                        "200 OK",
                                        "X-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id,
                                        "x".repeat(800));
                            });
            play.store.put(
                    "servers/" + s.id,
                    Play.entry("paygo", s.address(), 6, "ready", 1_796_000_000_000L + i));
        }
        List<Play.Daemon> daemons = play.startDaemons(DAEMONS);
        play.log("before the restarts: %d served", ask(play, daemons, "a"));
        String slack = play.trouble ? "45.2" : "45";
        for (Play.Daemon d : daemons) {
            play.changeSetting(d, "bounds.retrySlack", slack);
        }
        play.log("bounds.retrySlack is %s in the settings files", slack);
        int ended = 0;
        for (int i = 0; i < DAEMONS; i++) {
            Play.Daemon d = play.daemons().get(i);
            Play.signal(d.process(), "TERM");
            if (!d.process().waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                d.process().destroyForcibly();
            }
            Play.Daemon again = play.restart(i);
            if (again.process().waitFor(4, TimeUnit.SECONDS)) {
                ended++;
                play.log(
                        "%s ended by itself as it started again, with code %d",
                        again.host(), again.process().exitValue());
            } else {
                play.awaitReady(again);
                play.log("%s is ready again", again.host());
            }
        }
        int served = ask(play, play.daemons(), "b");
        play.log(
                "%d of %d daemons ended by themselves; after the restarts %d of %d requests were"
                        + " served; %d lines in the logs name the bound",
                ended, DAEMONS, served, DAEMONS * REQUESTS_PER_DAEMON,
                play.countInLogs("bounds.retrySlack"));
        return ended >= 2 || served == 0 ? Play.BROKEN : Play.HELD;
    }

    private static int ask(Play play, List<Play.Daemon> daemons, String prefix) {
        int served = 0;
        for (Play.Daemon d : daemons) {
            for (int n = 0; n < REQUESTS_PER_DAEMON; n++) {
                String id = prefix + d.host().substring(d.host().lastIndexOf('.') + 1) + n;
                try (Socket s = new Socket(d.host(), d.front())) {
                    s.setSoTimeout(3000);
                    s.getOutputStream()
                            .write(
                                    ("GET /balance/" + id + " HTTP/1.1\r\nHost: site.example\r\n"
                                                    + "X-Attempt-Id: " + id
                                                    + "\r\nX-Deadline-Ms: 1500\r\nApi-Key: k1\r\n\r\n")
                                            .getBytes());
                    Http.Head head = Http.readHead(new BufferedInputStream(s.getInputStream()));
                    play.log("%s to %s: %s", id, d.host(), head == null ? "closed" : head.status());
                    served += head != null && head.status() == 200 ? 1 : 0;
                } catch (IOException e) {
                    play.log("%s to %s: %s", id, d.host(), e);
                }
            }
        }
        return served;
    }
}
