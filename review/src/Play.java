import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One play: a store, daemons that are started with the command of the deploy file, and the record of
 * what was sent, answered and run.
 */
final class Play implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    /** Longest time that a play may take. */
    private static final long MAX_MILLIS = 116_000;

    /** False if the play is run without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Store store = new Store();
    private final Path mTemp = Files.createTempDirectory("review");
    private final PrintWriter mRecord;
    private final long mStart = System.nanoTime();
    private final List<Daemon> mDaemons = new CopyOnWriteArrayList<>();

    /** A daemon that runs as a process of its own. */
    record Daemon(String host, int front, int ready, int control, Path settings, Process process) {}

    Play(Path folder) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Milliseconds since the play began. */
    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    /** Writes a line to the record. */
    synchronized void log(String format, Object... args) {
        mRecord.println("%8.3f ".formatted(millis() / 1000.0) + String.format(Locale.ROOT, format, args));
    }

    /**
     * Returns a port that is free now. It lies below the ephemeral range, so that no outgoing
     * connection takes it.
     */
    static int freePort(String host) throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return s.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
            }
        }
        throw new IOException("no port is free");
    }

    /** Starts daemons that have the first three of them as seeds, and waits until all are ready. */
    List<Daemon> startDaemons(int count) throws IOException, InterruptedException {
        int front = freePort("127.0.0.11");
        int ready = freePort("127.0.0.11");
        int control = freePort("127.0.0.11");
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add("127.0.0." + (11 + i));
        }
        for (String host : hosts) {
            Path settings = mTemp.resolve("node-" + host + ".conf");
            Files.writeString(settings, settings(host, front, ready, control, hosts));
            mDaemons.add(
                    new Daemon(host, front, ready, control, settings, launch(host, settings)));
        }
        for (Daemon d : mDaemons) {
            awaitReady(d);
        }
        log("%d daemons are ready", count);
        return mDaemons;
    }

    Process launch(String host, Path settings) throws IOException {
        ProcessBuilder b = new ProcessBuilder(deployCommand());
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "LANG"));
        b.environment().put("BILBERRYGRADE_NODE_FILE", settings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mTemp.resolve("daemon-" + host + ".log").toFile()));
        return b.start();
    }

    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command in the deploy file");
    }

    private String settings(String host, int front, int ready, int control, List<String> hosts) {
        List<String> seeds = hosts.stream().limit(3).map(h -> h + ":" + control).toList();
        return """
                node=front-%1$s
                role=entry
                class=front
                serves=front,control
                ip=%1$s
                zone=zone-a
                region=region
                zones.zone-a=region
                listen.front=%1$s:%2$d
                listen.ready=%1$s:%3$d
                listen.control=%1$s:%4$d
                seeds=%5$s
                bootstrap=true
                limits.cpuShare=0.57
                limits.cores=2
                limits.memoryMb=560
                limits.maxFds=6150
                limits.linkMbps=1500.0
                limits.diskMb=0
                discovery=platform
                entry=vip
                heartbeatMs=1200
                bounds.seedLagS=3
                bounds.addrReuseS=2
                bounds.stabilityWindowMs=3000
                bounds.ackMs=4000
                bounds.syncS=4
                bounds.drainMs=2000
                bounds.graceS=8
                bounds.lossSlackMs=200
                bounds.configApplyMs=2000
                bounds.downgradeSlackMs=250
                bounds.outerMs=5000
                bounds.revokeStrict=true
                bounds.revokeMs=5000
                bounds.retryRatio=0.2
                bounds.retryWindowS=10
                bounds.retrySlack=104
                bounds.recoveryS=12
                bounds.passMs=120
                bounds.retryAfterS=0
                bounds.stall_ms=1500
                bounds.holdMaxMs=20000
                bounds.freeMs=4000
                bounds.idleMaxMs=9000
                platform.address=%6$s
                platform.form=read
                platform.readsPerS=2000
                platform.retentionS=20
                platform.valueBytes=1048576
                platform.ttlMinMs=1000
                """
                .formatted(host, front, ready, control, String.join(",", seeds), store.address());
    }

    /** Returns the daemons, each as it was started last. */
    List<Daemon> daemons() {
        return List.copyOf(mDaemons);
    }

    /** Changes a line of a daemon's settings file, as the platform may do. */
    void changeSetting(Daemon d, String key, String value) throws IOException {
        String text = Files.readString(d.settings());
        Files.writeString(
                d.settings(), text.replaceAll("(?m)^" + key + "=.*$", key + "=" + value));
    }

    /** Starts a daemon that has ended again. */
    Daemon restart(int index) throws IOException {
        Daemon d = mDaemons.get(index);
        Daemon again =
                new Daemon(
                        d.host(),
                        d.front(),
                        d.ready(),
                        d.control(),
                        d.settings(),
                        launch(d.host(), d.settings()));
        mDaemons.set(index, again);
        return again;
    }

    /** Waits until a daemon reports ready. */
    void awaitReady(Daemon d) throws IOException, InterruptedException {
        long end = System.nanoTime() + 25_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady(d)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("a daemon did not become ready");
    }

    /** Asks a daemon for its readiness once, as the platform does. */
    static boolean isReady(Daemon d) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(d.host(), d.ready()), 1000);
            s.setSoTimeout(1000);
            s.getOutputStream()
                    .write("GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n".getBytes());
            Http.Head head = Http.readHead(s.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this play started. */
    static void signal(Process p, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).start().waitFor();
    }

    /** A play: returns the exit code. */
    interface Script {
        int run(Play play) throws Exception;
    }

    /** Runs a play in its folder and exits with its code; ends all processes that it started. */
    static void run(String folder, Script script) throws IOException {
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(MAX_MILLIS);
                                System.exit(COULD_NOT_RUN);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        Play play = new Play(Path.of(folder));
        Runtime.getRuntime().addShutdownHook(new Thread(play::killDaemons));
        int code = COULD_NOT_RUN;
        try {
            code = script.run(play);
        } catch (Exception e) {
            play.log("could not run: %s", e);
        }
        play.log(
                "%s (TROUBLE=%d)",
                code == BROKEN ? "BROKEN" : code == HELD ? "HELD" : "COULD NOT RUN",
                play.trouble ? 1 : 0);
        play.close();
        System.exit(code);
    }

    private void killDaemons() {
        mDaemons.forEach(d -> d.process().destroyForcibly());
    }

    /** Counts lines in the logs of the daemons that hold a text. */
    long countInLogs(String text) throws IOException {
        long count = 0;
        for (Daemon d : mDaemons) {
            for (String line : Files.readAllLines(mTemp.resolve("daemon-" + d.host() + ".log"))) {
                count += line.contains(text) ? 1 : 0;
            }
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        for (Daemon d : mDaemons) {
            d.process().destroyForcibly();
            try {
                d.process().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        mRecord.close();
        try (var files = Files.walk(mTemp)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    /** Configuration as the wire page shows it, with the limits of the small sites. */
    static String config(int version, String routes, int idleMillis, String tenants) {
        return """
                {"version":%d,"routes":[%s],"services":[{"name":"pool","healthPath":"/health",\
                "maxConns":274,"protocol":"h1","tls":false,"engine":{"slots":11,\
                "kvCapacity":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,\
                "models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.007025454545454546,\
                "context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,\
                "report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],\
                "usual":{"prompt":13252,"answer":1540},"hopMs":0.1}},{"name":"paygo",\
                "healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],\
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
                "idleTimeoutMs":%d},"tenants":[%s]}"""
                .formatted(version, routes, idleMillis, tenants);
    }

    static String route(
            String name, String prefix, String kind, int timeout, int goal, String service,
            boolean resumable) {
        String gap = kind.equals("streaming") ? ",\"gapGoalMs\":200" : "";
        return """
                {"name":"%s","host":"site.example","prefix":"%s","kind":"%s","timeoutMs":%d,\
                "goalMs":%d,"priority":1,"service":"%s","maxAttempts":2,"public":false,\
                "sticky":%s,"resumable":%s%s}"""
                .formatted(
                        name, prefix, kind, timeout, goal, service, kind.equals("streaming"),
                        resumable, gap);
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"priority\":1}"
                .formatted(name, String.join("\",\"", keys));
    }

    /** Entry of a server in the store. */
    static String entry(String service, String address, int slots, String state, long born) {
        return """
                {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":%d,\
                "state":"%s","coldLeftMs":0,"stage":"unified",\
                "models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"born":%d}"""
                .formatted(service, address, slots, state, born);
    }
}
