package io.bilberrygrade.standins.load.control;

import com.sun.management.OperatingSystemMXBean;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.Incarnation;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.daemon.MonotonicClock;
import io.bilberrygrade.serving.entry.EntryDaemon;
import io.bilberrygrade.serving.event.JbossEventLog;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.settings.PolicySettings;
import io.bilberrygrade.standins.configservice.CallCounts;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Runs idle daemons in one process and measures the cost of their control traffic. */
final class DaemonFleet {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    private final FleetLayout mLayout;
    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient = WebClient.create(mVertx);

    DaemonFleet(FleetLayout layout) {
        mLayout = layout;
    }

    /** Starts the daemons and, after the warm-up, measures them for the given period. */
    ControlSample measure(Duration warmUp, Duration period) throws InterruptedException {
        for (int i = 0; i < mLayout.daemons(); i++) {
            mVertx.getDelegate()
                    .deployVerticle(daemon(i))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
        }
        awaitVersion(1);
        sendWarmUpPrompts();
        Thread.sleep(warmUp);
        Map<String, Double> before = sumControlCounters();
        double callsBefore = configCalls();
        long start = System.nanoTime();
        long processorStart = processorNanos();
        Thread.sleep(period);
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        double processor = (processorNanos() - processorStart) / NANOS_PER_MILLI / seconds;
        double calls = (configCalls() - callsBefore) / seconds;
        Map<String, Double> after = sumControlCounters();
        return measureChange(before, after, seconds, processor, calls);
    }

    /** Sends each daemon one short prompt, since daemons only monitor engines of models in use. */
    private void sendWarmUpPrompts() {
        for (int i = 0; i < mLayout.daemons(); i++) {
            mClient.post(mLayout.callerPort(i), mLayout.host(), "/v1/completions")
                    .putHeader("Authorization", "Bearer " + FleetLayout.CREDENTIAL)
                    .putHeader("X-Work-Class", "short")
                    .putHeader("X-Timeout-Ms", "30000")
                    .sendBuffer(Buffer.buffer("{\"prompt\":\"good day\",\"max_tokens\":1}"))
                    .await()
                    .atMost(TIMEOUT);
        }
    }

    private ControlSample measureChange(
            Map<String, Double> before,
            Map<String, Double> after,
            double seconds,
            double processor,
            double calls) {
        double receivedBefore =
                sumControlCounters().getOrDefault("bytes_received/configuration", 0.0);
        long published = System.nanoTime();
        publish(FleetLayout.classes(0.5));
        awaitVersion(2);
        double inForce = (System.nanoTime() - published) / NANOS_PER_SECOND;
        double received = sumControlCounters().getOrDefault("bytes_received/configuration", 0.0);
        int n = mLayout.daemons();
        return new ControlSample(
                n,
                mLayout.endpoints(),
                mLayout.teams(),
                seconds,
                processor / n,
                heapMegabytes() / n,
                rates(before, after, "messages_sent/", seconds),
                rates(before, after, "bytes_sent/", seconds),
                rates(before, after, "bytes_received/", seconds),
                calls,
                inForce,
                (received - receivedBefore) / n);
    }

    private Map<String, Double> rates(
            Map<String, Double> before, Map<String, Double> after, String metric, double seconds) {
        Map<String, Double> rates = new TreeMap<>();
        after.forEach(
                (name, value) -> {
                    if (name.startsWith(metric)) {
                        double total = value - before.getOrDefault(name, 0.0);
                        rates.put(
                                name.substring(metric.length()),
                                total / seconds / mLayout.daemons());
                    }
                });
        return rates;
    }

    /** Returns the control counters summed over the daemons. */
    private Map<String, Double> sumControlCounters() {
        Map<String, Double> totals = new TreeMap<>();
        for (int i = 0; i < mLayout.daemons(); i++) {
            MetricsPage page = fetchMetrics(i);
            for (String metric : new String[] {"messages_sent", "bytes_sent", "bytes_received"}) {
                page.byStep(metric)
                        .forEach((step, v) -> totals.merge(metric + "/" + step, v, Double::sum));
            }
        }
        return totals;
    }

    private void awaitVersion(long version) {
        IntStream.range(0, mLayout.daemons())
                .forEach(
                        i ->
                                mClient.get(mLayout.callerPort(i), mLayout.host(), "/metrics")
                                        .send()
                                        .map(r -> MetricsPage.parse(r.bodyAsString()))
                                        .repeat()
                                        .withDelay(POLL)
                                        .whilst(p -> p.value("config_version") < version)
                                        .collect()
                                        .last()
                                        .await()
                                        .atMost(TIMEOUT));
    }

    private MetricsPage fetchMetrics(int daemon) {
        HttpResponse<Buffer> response =
                mClient.get(mLayout.callerPort(daemon), mLayout.host(), "/metrics")
                        .send()
                        .await()
                        .atMost(TIMEOUT);
        return MetricsPage.parse(response.bodyAsString());
    }

    private double configCalls() {
        CallCounts count =
                mClient.get(FleetLayout.CONFIG_CONTROL_PORT, mLayout.host(), "/calls")
                        .send()
                        .await()
                        .atMost(TIMEOUT)
                        .bodyAsJson(CallCounts.class);
        return count.manifests() + count.parts();
    }

    private void publish(String classes) {
        mClient.put(FleetLayout.CONFIG_CONTROL_PORT, mLayout.host(), "/parts/classes")
                .sendBuffer(Buffer.buffer(classes))
                .await()
                .atMost(TIMEOUT);
    }

    private EntryDaemon daemon(int index) {
        EntrySettings settings =
                new EntrySettings(
                        new InstanceId("entry-" + index),
                        new DataCentreId(mLayout.dataCentre(index)),
                        mLayout.host(),
                        mLayout.callerPort(index),
                        mLayout.peerPort(index),
                        new Address(mLayout.host(), FleetLayout.CONFIG_PORT),
                        new Address(mLayout.host(), FleetLayout.INSTANCES_PORT),
                        PeerKey.of("control-measurement".getBytes(StandardCharsets.UTF_8)),
                        1L << 20,
                        Duration.ofMinutes(1),
                        Duration.ofSeconds(1),
                        PolicySettings.FULL,
                        Optional.empty());
        return new EntryDaemon(
                settings,
                new Incarnation(System.currentTimeMillis()),
                new MonotonicClock(),
                new JbossEventLog());
    }

    private static long processorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static double heapMegabytes() {
        ManagementFactory.getMemoryMXBean().gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()
                / BYTES_PER_MEGABYTE;
    }
}
