import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;

/**
 * Many users come at once, each with one long prompt of a size that the published limits allow. Are
 * the bodies that servers run those that the clients sent?
 */
final class LargeBodies {
    /** Published limit of a body. */
    private static final int BODY_BYTES = 4_194_304;

    /** Clients of the small site: 29, 30 and 36 in its zones. */
    private static final int CLIENTS = 95;

    private static final int DAEMONS = 4;

    /** Clients of each daemon in a wave; the hash by which the platform deals them is uneven. */
    private static final int[] SHARES = {16, 22, 26, 31};

    private static final int WAVES = 5;

    /** Time after which no further wave begins. */
    private static final long LAST_WAVE_MILLIS = 80_000;

    /** Time limit of a client, after which it closes its connection. */
    private static final long CLIENT_MILLIS = 16_000;
    private static final int MODEL_SERVERS = 16;
    private static final long WORK_MILLIS = 1500;

    private LargeBodies() {}

    public static void main(String[] args) throws IOException {
        Play.run(args[0], LargeBodies::run);
    }

    private static int run(Play play) throws Exception {
        byte[] body = new byte[BODY_BYTES];
        new Random(1).nextBytes(body);
        long sent = crc(body);
        AtomicInteger ran = new AtomicInteger();
        AtomicInteger changed = new AtomicInteger();
        Server.Handler model =
                (server, head, in, out, socket) -> {
                    byte[] got = Http.readBody(in, head);
                    String id = head.header("x-attempt-id");
                    ran.incrementAndGet();
                    boolean same = crc(got) == sent;
                    changed.addAndGet(same ? 0 : 1);
                    play.log(
                            "RUN %s at %s, %d bytes%s",
                            id, server.id, got.length, same ? "" : ", ANOTHER BODY");
                    Thread.sleep(WORK_MILLIS);
                    stream(out, id);
                };
        play.store.put(
                "op/config",
                Play.config(
                        7,
                        Play.route("r1", "/audit/", "streaming", 15000, 3000, "pool", true),
                        15000,
                        Play.tenant("t1", "k1")));
        for (int i = 0; i < MODEL_SERVERS; i++) {
            Server s = new Server("i-%02d".formatted(i), 0, model);
            play.store.put(
                    "servers/" + s.id,
                    Play.entry("pool", s.address(), 11, "ready", 1_796_000_000_000L + i));
        }
        List<Play.Daemon> daemons = play.startDaemons(DAEMONS);
        Thread.sleep(3000);
        Map<String, Integer> answers = new ConcurrentHashMap<>();
        int waves = 0;
        for (int wave = 0; wave < WAVES; wave++) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int c = wave * CLIENTS + i;
                Play.Daemon d = daemons.get(daemonOf(i, wave));
                clients.add(
                        Thread.startVirtualThread(
                                () -> answers.merge(ask(play, d, c, body), 1, Integer::sum)));
                if (!play.trouble) {
                    Thread.sleep(150);
                }
            }
            for (Thread t : clients) {
                t.join();
            }
            play.log("wave %d: %d bodies changed so far", wave + 1, changed.get());
            waves++;
            if (play.trouble && (changed.get() > 0 || play.millis() > LAST_WAVE_MILLIS)) {
                break;
            }
        }
        play.log("answers: %s", answers);
        play.log(
                "%d requests sent, %d runs, %d of them with another body than the client's;"
                        + " 'OutOfMemoryError' %d times in the daemons' logs",
                waves * CLIENTS, ran.get(), changed.get(), play.countInLogs("OutOfMemoryError"));
        return changed.get() > 0 ? Play.BROKEN : Play.HELD;
    }

    private static int daemonOf(int client, int wave) {
        int share = 0;
        int end = SHARES[0];
        while (client >= end) {
            share++;
            end += SHARES[share];
        }
        return (share + wave) % DAEMONS;
    }

    private static long crc(byte[] bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return crc.getValue();
    }

    private static void stream(OutputStream out, String id) throws IOException {
        out.write(
                ("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                        .getBytes());
        for (int i = 1; i <= 17; i++) {
            String event = "id: " + i + "\ndata: words\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    private static void closeLater(Socket s) {
        try (s) {
            Thread.sleep(CLIENT_MILLIS);
        } catch (InterruptedException | IOException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request; returns what came of it. */
    private static String ask(Play play, Play.Daemon d, int c, byte[] body) {
        String id = "a%04x".formatted(c);
        play.log("%s to %s: %d bytes are sent", id, d.host(), body.length);
        String result;
        try (Socket s = new Socket(d.host(), d.front())) {
            Thread.startVirtualThread(() -> closeLater(s));
            OutputStream out = s.getOutputStream();
            out.write(
                    ("POST /audit/" + c + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Model: m\r\nX-Token-Count: 210000,780\r\n"
                                    + "X-Prompt-Prefix: 5c1e07a2:40," + Integer.toHexString(c + 4096)
                                    + ":209960\r\nX-Deadline-Ms: 15000\r\nApi-Key: k1\r\n"
                                    + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes());
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(s.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                result = "closed";
            } else {
                String text = new String(Http.readBody(in, head)).strip();
                result = head.status() + (head.status() == 200 ? "" : " " + text);
            }
        } catch (IOException e) {
            result = e.toString();
        }
        play.log("%s to %s: %s", id, d.host(), result);
        return result;
    }
}
