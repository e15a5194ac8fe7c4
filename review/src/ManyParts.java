import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One part of a prompt crashes each server that begins to write an answer on it. The prompts have
 * many parts. Does the fleet stop sending such requests?
 */
final class ManyParts {
    private static final int DAEMONS = 4;
    private static final int SERVERS = 16;

    /** Shared parts of a prompt, the one that crashes servers included; 8 to compare. */
    private static final int PARTS =
            Integer.parseInt(System.getenv().getOrDefault("PARTS", "40"));

    private static final String DEADLY_PART = "f3b0c442";
    private static final long DOWN_MILLIS = 2_000;

    /** stabilityWindowMs of the small site. */
    private static final long STABILITY_MILLIS = 3_000;

    private static final long DEADLY_PAUSE_MILLIS = 1_000;
    private static final long LENGTH_MILLIS = 32_000;
    private static final int ALLOWED = 3;

    private final Play mPlay;
    private final AtomicInteger mCrashes = new AtomicInteger();
    private final AtomicInteger mDeadlyRuns = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicLong mFifthCrashAt = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicBoolean mStop = new AtomicBoolean();

    private ManyParts(Play play) {
        mPlay = play;
    }

    public static void main(String[] args) throws IOException {
        Play.run(args[0], p -> new ManyParts(p).run());
    }

    private int run() throws Exception {
        mPlay.store.put(
                "op/config",
                Play.config(
                        7,
                        Play.route("r1", "/ask/", "streaming", 10000, 300, "pool", true),
                        15000,
                        Play.tenant("t1", "k1")));
        for (int i = 0; i < SERVERS; i++) {
            register(new Server("i-%02d".formatted(i), 0, this::answer));
        }
        List<Play.Daemon> daemons = mPlay.startDaemons(DAEMONS);
        Thread.sleep(3000);
        List<Thread> sound = new ArrayList<>();
        for (Play.Daemon d : daemons) {
            sound.add(Thread.startVirtualThread(() -> askSound(d)));
        }
        Thread.sleep(2000);
        for (int n = 0; mPlay.millis() < LENGTH_MILLIS; n++) {
            Play.Daemon d = daemons.get(n % DAEMONS);
            String id = "dead%03x".formatted(n);
            mPlay.log("%s to %s: %s", id, d.host(), ask(d, id, prompt(id, true)));
            Thread.sleep(DEADLY_PAUSE_MILLIS);
        }
        mStop.set(true);
        for (Thread t : sound) {
            t.join();
        }
        mPlay.log(
                "%d shared parts; sound requests: %d served, %d failed; %d requests with the part"
                        + " ran and %d servers crashed; %d of them were sent later than"
                        + " stabilityWindowMs after the fifth crash (%d are allowed)",
                PARTS, mServed.get(), mFailed.get(), mDeadlyRuns.get(), mCrashes.get(),
                mLate.get(), ALLOWED);
        return mLate.get() > ALLOWED ? Play.BROKEN : Play.HELD;
    }

    private void register(Server s) {
        mPlay.store.put(
                "servers/" + s.id,
                Play.entry("pool", s.address(), 11, "ready", System.currentTimeMillis()));
    }

    private void answer(
            Server server, Http.Head head, InputStream in, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        Http.readBody(in, head);
        String id = head.header("x-attempt-id");
        boolean deadly = head.header("x-prompt-prefix").contains(DEADLY_PART);
        if (!deadly || !mPlay.trouble) {
            mPlay.log("RUN %s at %s", id, server.id);
        }
        Thread.sleep(40);
        out.write(
                ("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id
                                + "\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n")
                        .getBytes());
        out.flush();
        if (deadly) {
            onDeadly(server, id);
            if (mPlay.trouble) {
                return;
            }
        }
        for (int i = 1; i <= 8; i++) {
            String event = "id: " + i + "\ndata: words\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            out.flush();
            Thread.sleep(40);
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    private void onDeadly(Server server, String id) throws IOException, InterruptedException {
        mDeadlyRuns.incrementAndGet();
        if (!mPlay.trouble) {
            return;
        }
        long now = mPlay.millis();
        boolean late =
                mFifthCrashAt.get() != Long.MAX_VALUE
                        && now - mFifthCrashAt.get() > STABILITY_MILLIS;
        mLate.addAndGet(late ? 1 : 0);
        if (mCrashes.incrementAndGet() == 5) {
            mFifthCrashAt.set(now);
        }
        mPlay.log("RUN %s crashes %s%s", id, server.id, late ? " LATE" : "");
        Thread.sleep(20);
        server.crash();
        Thread.startVirtualThread(
                () -> {
                    try {
                        Thread.sleep(DOWN_MILLIS);
                        server.restart();
                        register(server);
                    } catch (IOException | InterruptedException e) {
                        mPlay.log("%s could not start again: %s", server.id, e);
                    }
                });
    }

    /** Parts of a prompt: shared ones, with the one that crashes servers if asked, and its own. */
    private static String prompt(String id, boolean deadly) {
        StringBuilder prompt = new StringBuilder();
        for (int i = 1; i < PARTS; i++) {
            prompt.append("%08x:120,".formatted(0x10a3c0 + i * 0x5a5f1e3L));
        }
        if (deadly) {
            prompt.append(DEADLY_PART).append(":120,");
        }
        return prompt.append(Integer.toHexString(id.hashCode())).append(":120").toString();
    }

    private void askSound(Play.Daemon d) {
        String name = "5" + d.host().substring(d.host().lastIndexOf('.') + 1);
        for (int n = 0; !mStop.get(); n++) {
            String id = name + "%03x".formatted(n);
            String result = ask(d, id, prompt(id, false));
            (result.startsWith("200") ? mServed : mFailed).incrementAndGet();
            mPlay.log("%s to %s: %s", id, d.host(), result);
        }
    }

    private static String ask(Play.Daemon d, String id, String prompt) {
        try (Socket s = new Socket(d.host(), d.front())) {
            s.setSoTimeout(10000);
            s.getOutputStream()
                    .write(
                            ("POST /ask/" + id + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: "
                                            + id + "\r\nX-Model: m\r\nX-Token-Count: 4960,160\r\n"
                                            + "X-Prompt-Prefix: " + prompt
                                            + "\r\nX-Deadline-Ms: 10000\r\nApi-Key: k1\r\n"
                                            + "Content-Length: 0\r\n\r\n")
                                    .getBytes());
            InputStream in = new BufferedInputStream(s.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return "closed";
            }
            String text = new String(Http.readBody(in, head)).strip();
            return head.status() + (head.status() == 200 ? "" : " " + text);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
