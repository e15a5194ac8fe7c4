import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the scripts of the second review share: the project's daemon as a process of its own, and
 * small stand-ins of the platform's store, of servers and of clients, by the users' pages. All
 * addresses are loopback addresses.
 */
final class Lab implements Closeable {
    static final String HOST = "shop.example";
    static final String KEY = "key-of-team-one";
    private static final long LIMIT_MS = 110_000;
    private static final long START = System.nanoTime();

    final Path root = Path.of(System.getProperty("root", "."));
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** Whether the server that leaves has said so. */
    volatile boolean left;
    private final PrintWriter record;
    private final List<Daemon> daemons = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final List<Closeable> closeables = Collections.synchronizedList(new ArrayList<>());

    Lab(String folder) throws IOException {
        temporary = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        closeables.add(record::close);
        note("disruption " + (trouble ? "on" : "off"));
    }

    /** Runs a script in the given folder, and ends with its exit code or with 2 if it couldn't run. */
    static void run(String folder, Script script) {
        int code = 2;
        try (Lab lab = new Lab(folder)) {
            Thread kill = new Thread(() -> lab.daemons.forEach(d -> d.process.destroyForcibly()));
            Runtime.getRuntime().addShutdownHook(kill);
            start("limit", lab::endAtTheLimit);
            code = script.run(lab);
            lab.note("exit code " + code);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private void endAtTheLimit() {
        sleep(LIMIT_MS);
        note("not done after " + LIMIT_MS + " ms; exit code 2");
        System.exit(2);
    }

    interface Script {
        int run(Lab lab) throws IOException;
    }

    /** Milliseconds since the start of the script. */
    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%8d ms  %s", now(), line));
    }

    <T extends Closeable> T own(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    @Override
    public void close() throws IOException {
        List<Closeable> all = new ArrayList<>(closeables);
        Collections.reverse(all);
        for (Closeable c : all) {
            try {
                c.close();
            } catch (IOException e) {
                note("closing failed: " + e);
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }

    /** Returns a free port below those that the kernel gives to outgoing connections. */
    static int freePort(String host) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return s.getLocalPort();
            } catch (BindException e) {
                // Another process listens there.
            }
        }
        throw new IOException("no free port at " + host);
    }

    static void start(String name, Action action) {
        Thread.ofVirtual()
                .name(name)
                .start(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException e) {
                                // The peer has gone; what it sent so far stands in the record.
                            }
                        });
    }

    interface Action {
        void run() throws IOException;
    }

    /** Waits until a condition holds; returns whether it does. */
    static boolean await(long millis, java.util.function.BooleanSupplier condition) {
        long end = now() + millis;
        while (now() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return condition.getAsBoolean();
    }

    // ---- HTTP ----

    /** Head and body of a request or an answer. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection was closed");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Message head(InputStream in) throws IOException {
        Message m = new Message();
        m.first = line(in);
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.headers.put(
                    l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
        }
        return m;
    }

    /** Reads a message with a length or in chunks; throws if it ends early. */
    static Message message(InputStream in) throws IOException {
        Message m = head(in);
        if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] c = chunk(in); c.length > 0; c = chunk(in)) {
                body.write(c);
            }
            m.body = body.toByteArray();
        } else if (m.header("Content-Length") != null) {
            m.body = exactly(in, Integer.parseInt(m.header("Content-Length")));
        }
        return m;
    }

    static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        byte[] data = exactly(in, size);
        line(in);
        return data;
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] data = in.readNBytes(size);
        if (data.length < size) {
            throw new EOFException("the connection was closed within a body");
        }
        return data;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] answer(int status, String headers, byte[] body) {
        byte[] head =
                ascii(
                        "HTTP/1.1 "
                                + status
                                + " X\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length
                                + "\r\n\r\n");
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Listens and handles each connection on a thread of its own. */
    abstract static class Listener implements Closeable {
        final String host;
        final int port;
        private final ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Listener(String host) throws IOException {
            this.host = host;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(host, 0), 1024);
            port = socket.getLocalPort();
        }

        String address() {
            return host + ":" + port;
        }

        void listen() {
            Lab.start(
                    "accept",
                    () -> {
                        while (!socket.isClosed()) {
                            Socket s = socket.accept();
                            s.setTcpNoDelay(true);
                            open.add(s);
                            Lab.start("connection", () -> serve(s));
                        }
                    });
        }

        private void serve(Socket s) throws IOException {
            try (s) {
                handle(s, new BufferedInputStream(s.getInputStream()), s.getOutputStream());
            } finally {
                open.remove(s);
            }
        }

        abstract void handle(Socket s, InputStream in, OutputStream out) throws IOException;

        /** As when the process ends: the port is closed, and its connections are reset. */
        void crash() throws IOException {
            socket.close();
            for (Socket s : open) {
                s.setSoLinger(true, 0);
                s.close();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : open) {
                s.close();
            }
        }
    }

    // ---- the platform's store ----

    /** The platform's store: items, revisions and watches, as the users' pages tell. */
    final class Store extends Listener {
        private record Item(String key, byte[] value, long revision, long created) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private long revision = 100;
        private long era = 1;
        private volatile boolean away;

        Store() throws IOException {
            super("127.0.0.1");
            listen();
        }

        /** Writes an item; null removes it. The return is the confirmation. */
        synchronized void put(String key, String value) {
            revision++;
            Item old = items.get(key);
            Item item =
                    new Item(
                            key,
                            value == null ? null : value.getBytes(StandardCharsets.UTF_8),
                            revision,
                            old == null ? revision : old.created());
            if (value == null) {
                items.remove(key);
            } else {
                items.put(key, item);
            }
            history.add(item);
            note("store: " + (value == null ? "removed " : "wrote ") + key + " at " + revision);
            notifyAll();
        }

        /** Ends all connections and takes no calls until it returns. */
        void goAway() throws IOException {
            note("store: away");
            away = true;
            for (Socket s : open) {
                s.close();
            }
        }

        void comeBack() {
            note("store: back");
            away = false;
        }

        synchronized long revision() {
            return revision;
        }

        /** Comes back from a copy: what was written after the given revision is gone. */
        synchronized void restore(long copy) {
            history.removeIf(i -> i.revision() > copy);
            items.clear();
            for (Item i : history) {
                if (i.value() == null) {
                    items.remove(i.key());
                } else {
                    items.put(i.key(), i);
                }
            }
            revision = copy;
            era++;
            note("store: restored from revision " + copy + ", era " + era);
            notifyAll();
        }

        private static String json(Item i, String more) {
            return i.value() == null
                    ? "{\"key\":\"%s\",\"revision\":%d,\"tombstone\":true}"
                            .formatted(i.key(), i.revision())
                    : "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0%s}"
                            .formatted(
                                    i.key(),
                                    Base64.getEncoder().encodeToString(i.value()),
                                    i.revision(),
                                    i.created(),
                                    more);
        }

        @Override
        void handle(Socket s, InputStream in, OutputStream out) throws IOException {
            while (!away) {
                Message m = message(in);
                Map<String, String> query = query(m.path());
                String path = m.path().split("\\?")[0];
                byte[] a =
                        switch (path) {
                            case "/v1/kv-key" -> key(query.get("key"));
                            case "/v1/kv-range" -> range(query);
                            case "/v1/kv-watch" -> watch(query);
                            default -> answer(404, "", new byte[0]);
                        };
                out.write(a);
                out.flush();
            }
        }

        private static Map<String, String> query(String uri) {
            Map<String, String> query = new HashMap<>();
            int mark = uri.indexOf('?');
            for (String p : mark < 0 ? new String[0] : uri.substring(mark + 1).split("&")) {
                String[] parts = p.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
            return query;
        }

        private byte[] ok(int status, String body) {
            return answer(
                    status,
                    "Content-Type: application/json\r\nStore-Era: " + era + "\r\n",
                    body.getBytes(StandardCharsets.UTF_8));
        }

        private synchronized byte[] key(String key) {
            Item i = items.get(key);
            return i == null
                    ? ok(404, "{\"currentRev\":" + revision + "}")
                    : ok(200, json(i, ",\"currentRev\":" + revision));
        }

        private synchronized byte[] range(Map<String, String> query) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            List<String> found = new ArrayList<>();
            for (Item i : items.values()) {
                if (i.key().startsWith(prefix) && i.key().compareTo(after) > 0) {
                    found.add(json(i, ""));
                }
            }
            return ok(
                    200,
                    "{\"items\":[%s],\"morePages\":false,\"currentRev\":%d}"
                            .formatted(String.join(",", found), revision));
        }

        private synchronized byte[] watch(Map<String, String> query) {
            long after = Long.parseLong(query.get("after"));
            if (after > revision) {
                return ok(410, "{}");
            }
            long start = era;
            long end = now() + Long.parseLong(query.get("waitMs"));
            List<String> events = events(query.get("prefix"), after);
            while (events.isEmpty() && now() < end) {
                try {
                    wait(Math.max(1, end - now()));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                if (era != start) {
                    return ok(410, "{}");
                }
                events = events(query.get("prefix"), after);
            }
            return ok(
                    200,
                    "{\"events\":[%s],\"currentRev\":%d}"
                            .formatted(String.join(",", events), revision));
        }

        private List<String> events(String prefix, long after) {
            List<String> events = new ArrayList<>();
            for (Item i : history) {
                if (i.revision() > after && i.key().startsWith(prefix)) {
                    events.add(json(i, ""));
                }
            }
            return events;
        }
    }

    // ---- a path that can be cut ----

    /**
     * The path to the store, which all daemons have under the same address. It can be cut for some
     * daemons: nothing passes then, in either direction, and nobody is told.
     */
    final class Link extends Listener {
        private final String targetHost;
        private final int targetPort;
        private final Set<Daemon> cut = ConcurrentHashMap.newKeySet();
        private final Set<Daemon> refused = ConcurrentHashMap.newKeySet();
        private final Map<Socket, Daemon> callers = new ConcurrentHashMap<>();

        Link(String targetHost, int targetPort) throws IOException {
            super("127.0.0.1");
            this.targetHost = targetHost;
            this.targetPort = targetPort;
            listen();
        }

        void cut(List<Daemon> daemons) {
            daemons.forEach(d -> note("path between the store and daemon " + d.name + " cut"));
            cut.addAll(daemons);
        }

        /** From now on the connections of a daemon are reset, the new ones too. */
        void refuse(Daemon daemon) throws IOException {
            note("path between the store and daemon " + daemon.name + " cut, with resets");
            refused.add(daemon);
            for (Map.Entry<Socket, Daemon> e : callers.entrySet()) {
                if (e.getValue().equals(daemon)) {
                    reset(e.getKey());
                }
            }
        }

        private void reset(Socket s) throws IOException {
            s.setSoLinger(true, 0);
            s.close();
        }

        void heal() {
            note("path to the store healed for all");
            cut.clear();
            refused.clear();
        }

        private void hold(Daemon caller) {
            while (caller != null && cut.contains(caller)) {
                sleep(10);
            }
        }

        @Override
        void handle(Socket s, InputStream in, OutputStream out) throws IOException {
            Daemon caller = caller(s);
            if (caller != null && refused.contains(caller)) {
                reset(s);
                return;
            }
            hold(caller);
            if (caller != null) {
                callers.put(s, caller);
            }
            try (Socket target = new Socket(targetHost, targetPort)) {
                target.setTcpNoDelay(true);
                Lab.start(
                        "back",
                        () -> {
                            try (s) {
                                pump(target.getInputStream(), out, caller);
                            }
                        });
                pump(in, target.getOutputStream(), caller);
            } finally {
                callers.remove(s);
            }
        }

        private void pump(InputStream in, OutputStream out, Daemon caller) throws IOException {
            byte[] buffer = new byte[16384];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                hold(caller);
                out.write(buffer, 0, n);
                out.flush();
            }
        }

        /** Finds the daemon that holds the other end, by what the kernel tells of its sockets. */
        private Daemon caller(Socket s) throws IOException {
            String port = String.format(Locale.ROOT, ":%04X", s.getPort());
            for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                for (String row : Files.readAllLines(Path.of(table))) {
                    String[] columns = row.strip().split(" +");
                    if (columns.length > 9 && columns[1].endsWith(port)) {
                        Daemon owner = owner("socket:[" + columns[9] + "]");
                        if (owner != null) {
                            return owner;
                        }
                    }
                }
            }
            note("a connection to the store could not be assigned to a daemon");
            return null;
        }

        private Daemon owner(String socket) throws IOException {
            for (Daemon d : daemons) {
                try (Stream<Path> files =
                        Files.list(Path.of("/proc/" + d.process.pid() + "/fd"))) {
                    if (files.anyMatch(f -> refersTo(f, socket))) {
                        return d;
                    }
                }
            }
            return null;
        }

        private static boolean refersTo(Path file, String socket) {
            try {
                return Files.readSymbolicLink(file).toString().equals(socket);
            } catch (IOException e) {
                return false;
            }
        }
    }

    // ---- servers ----

    /** A server of a service; what it does with a request is up to each script. */
    abstract class Server extends Listener {
        final String id;
        final String service;
        final String zone;
        final long born = System.currentTimeMillis();
        private int seq;

        Server(String id, String service, String zone) throws IOException {
            super("127.0.0.1");
            this.id = id;
            this.service = service;
            this.zone = zone;
            listen();
        }

        String entry(String state) {
            seq++;
            return """
                {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":11,\
                "state":"%s","coldLeftMs":0,"stage":"unified","seq":%d,"born":%d}"""
                    .formatted(service, address(), zone, state, seq, born);
        }

        String seal(Message m) {
            return "X-Attempt-Id: "
                    + m.header("X-Attempt-Id")
                    + "\r\nX-Response-Seal: "
                    + id
                    + "."
                    + m.header("X-Attempt-Id")
                    + "\r\n";
        }

        @Override
        void handle(Socket s, InputStream in, OutputStream out) throws IOException {
            while (true) {
                Message m = message(in);
                String expected = m.header("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(answer(421, "X-Instance-Id: " + id + "\r\n", new byte[0]));
                } else if (m.path().equals("/health")) {
                    out.write(answer(200, "X-Instance-Id: " + id + "\r\n", new byte[0]));
                } else {
                    run(m, s, out);
                }
                out.flush();
            }
        }

        abstract void run(Message m, Socket s, OutputStream out) throws IOException;
    }

    // ---- the daemon ----

    /** One daemon of the project, started with the command of the deploy file. */
    final class Daemon implements Closeable {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final int control;
        final Path log;
        private final Path settings;
        private Process process;

        Daemon(String name, String zone, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            front = freePort(ip);
            ready = freePort(ip);
            control = freePort(ip);
            settings = temporary.resolve(name + ".conf");
            log = temporary.resolve(name + ".log");
            this.zone = zone;
        }

        private final String zone;

        String controlAddress() {
            return ip + ":" + control;
        }

        /** Starts the process; the store is reached at the given address. */
        void start(String store, List<Daemon> seeds) throws IOException {
            Files.writeString(settings, settings(store, seeds));
            List<String> command = new ArrayList<>(List.of(command().split(" +")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "LANG"));
            builder.environment().put("BILBERRYGRADE_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            daemons.add(this);
            note("daemon " + name + " started as process " + process.pid());
        }

        private String command() throws IOException {
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!m.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            return m.group(1);
        }

        private String settings(String store, List<Daemon> seeds) {
            List<String> addresses = new ArrayList<>();
            seeds.forEach(s -> addresses.add(s.controlAddress()));
            return String.join(
                    "\n",
                    "node=" + name,
                    "role=entry",
                    "class=front",
                    "serves=front,control",
                    "ip=" + ip,
                    "zone=" + zone,
                    "region=r1",
                    "zones." + zone + "=r1",
                    "listen.front=" + ip + ":" + front,
                    "listen.ready=" + ip + ":" + ready,
                    "listen.control=" + controlAddress(),
                    "seeds=" + String.join(",", addresses),
                    "bootstrap=true",
                    "limits.cpuShare=0.57",
                    "limits.cores=2",
                    "limits.memoryMb=560",
                    "limits.maxFds=6150",
                    "limits.linkMbps=1500.0",
                    "discovery=platform",
                    "entry=vip",
                    "heartbeatMs=1200",
                    "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
                            + "platform,spans",
                    "faultTolerance.machines=2",
                    "bounds.seedLagS=3",
                    "bounds.addrReuseS=2",
                    "bounds.stabilityWindowMs=3000",
                    "bounds.ackMs=4000",
                    "bounds.syncS=4",
                    "bounds.drainMs=2000",
                    "bounds.graceS=8",
                    "bounds.lossSlackMs=200",
                    "bounds.configApplyMs=2000",
                    "bounds.downgradeSlackMs=250",
                    "bounds.outerMs=5000",
                    "bounds.revokeStrict=true",
                    "bounds.revokeMs=5000",
                    "bounds.retryRatio=0.2",
                    "bounds.retryWindowS=10",
                    "bounds.retrySlack=104",
                    "bounds.recoveryS=12",
                    "bounds.passMs=120",
                    "bounds.retryAfterS=0",
                    "bounds.stall_ms=1500",
                    "bounds.holdMaxMs=20000",
                    "bounds.freeMs=4000",
                    "bounds.idleMaxMs=9000",
                    "platform.address=" + store,
                    "platform.form=read",
                    "platform.readsPerS=2000",
                    "platform.retentionS=20",
                    "platform.valueBytes=1048576",
                    "");
        }

        boolean isReady() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, ready), 500);
                s.setSoTimeout(1000);
                s.getOutputStream()
                        .write(ascii("GET /v1/readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n"));
                return message(new BufferedInputStream(s.getInputStream())).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException {
            note("SIG" + signal + " to daemon " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /** Start of the daemon as it states it to its peers; the oldest one comes first there. */
        long incarnation() {
            Matcher m = Pattern.compile("incarnation=(\\d+)").matcher(logged("BG1001").toString());
            return m.find() ? Long.parseLong(m.group(1)) : Long.MAX_VALUE;
        }

        List<String> logged(String part) {
            try (Stream<String> lines = Files.lines(log)) {
                return lines.filter(l -> l.contains(part)).toList();
            } catch (IOException e) {
                return List.of();
            }
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                String keep = System.getenv("KEEP_LOGS");
                if (keep != null) {
                    Files.copy(
                            log,
                            Path.of(keep, name + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
    }

    // ---- clients ----

    /** Sends one request on a new connection and returns the whole answer. */
    static Message request(
            Daemon d, String method, String path, String headers, byte[] body, int millis)
            throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(d.ip, d.front), 1000);
            s.setTcpNoDelay(true);
            s.setSoTimeout(millis + 1000);
            String length =
                    method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
            s.getOutputStream()
                    .write(
                            ascii(
                                    method
                                            + " "
                                            + path
                                            + " HTTP/1.1\r\nHost: "
                                            + HOST
                                            + "\r\nApi-Key: "
                                            + KEY
                                            + "\r\nX-Deadline-Ms: "
                                            + millis
                                            + "\r\n"
                                            + headers
                                            + length
                                            + "\r\n"));
            s.getOutputStream().write(body);
            s.getOutputStream().flush();
            return message(new BufferedInputStream(s.getInputStream()));
        }
    }
}
