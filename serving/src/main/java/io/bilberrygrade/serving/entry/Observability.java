package io.bilberrygrade.serving.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.sun.management.OperatingSystemMXBean;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.report.ReportHistory;
import io.bilberrygrade.serving.controller.ConfigController;
import io.bilberrygrade.serving.controller.DrainController;
import io.bilberrygrade.serving.controller.MembershipController;
import io.bilberrygrade.serving.http.CompositeRequestObserver;
import io.bilberrygrade.serving.http.OperationsApi;
import io.bilberrygrade.serving.http.OperatorApi;
import io.bilberrygrade.serving.http.RequestObserver;
import io.bilberrygrade.serving.metrics.RequestMetrics;
import io.bilberrygrade.serving.peer.PeerHandler;
import io.bilberrygrade.serving.peer.PeerIdentity;
import io.bilberrygrade.serving.peer.PeerMessage;
import io.bilberrygrade.serving.peer.PeerNetwork;
import io.bilberrygrade.serving.report.AuditTrail;
import io.bilberrygrade.serving.report.ConfigAudit;
import io.bilberrygrade.serving.report.OutcomeRecorder;
import io.bilberrygrade.serving.report.ReportController;
import io.bilberrygrade.serving.report.StatusReporter;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.smallrye.mutiny.Uni;
import io.vertx.ext.web.Router;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.InstantSource;

/** Creates and connects the metrics, audit trail, status and reports of one daemon. */
final class Observability {
    /** Interval between searches for lost requests. */
    static final Duration LOSS_CHECK_PERIOD = Duration.ofSeconds(5);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final EntrySettings mSettings;
    private final InstantSource mClock;
    private final MetricRegistry mMetrics;
    private final RequestMetrics mRequests;
    private final OutcomeRecorder mOutcomes;
    private final ReportController mReports;
    private final StatusReporter mStatus;
    private final DrainController mDrain;

    Observability(
            EntrySettings settings,
            PeerIdentity self,
            InstantSource clock,
            MetricRegistry metrics,
            AuditTrail audit,
            Controllers controllers,
            PeerNetwork peers) {
        mSettings = settings;
        mClock = clock;
        mMetrics = metrics;
        mDrain = controllers.drain();
        ConfigController config = controllers.config();
        MembershipController membership = controllers.membership();
        ReportHistory history = new ReportHistory();
        mRequests = new RequestMetrics(metrics, audit);
        mOutcomes = new OutcomeRecorder(history);
        mReports =
                new ReportController(
                        self,
                        clock.instant(),
                        history,
                        peers,
                        () -> membership.instances().instances(),
                        config::current);
        mStatus =
                new StatusReporter(
                        self,
                        settings.dataCentre().value(),
                        clock.instant(),
                        mDrain,
                        controllers.endpoints(),
                        membership,
                        audit);
        ConfigAudit configAudit = new ConfigAudit(audit);
        config.onChange(d -> mStatus.onDeployment(d, clock.instant()));
        config.onChange(configAudit::onDeployment);
        registerGauges(config);
    }

    /** Returns the observer that is notified of each request. */
    RequestObserver requests() {
        return new CompositeRequestObserver(ImmutableList.of(mRequests, mOutcomes));
    }

    /**
     * Returns a handler that answers report requests of peers and passes other messages to {@code
     * next}.
     */
    PeerHandler withReports(PeerHandler next) {
        return (from, message) ->
                message instanceof PeerMessage.ReportRequest r
                        ? Uni.createFrom().item(createReport(r))
                        : next.handle(from, message);
    }

    private PeerMessage createReport(PeerMessage.ReportRequest request) {
        return new PeerMessage.ReportReply(
                mReports.localReport(request.periodMinutes(), mClock.instant()));
    }

    /** Searches for requests that are past their deadline and have no outcome. */
    Uni<Void> findLostRequests() {
        mOutcomes.detectLosses(mClock.instant());
        return Uni.createFrom().voidItem();
    }

    /** Adds the routes of the platform and of operators. */
    void mount(Router router) {
        new OperationsApi(mDrain, mMetrics).mount(router);
        new OperatorApi(mSettings.operatorCredential(), mStatus, mReports, mClock).mount(router);
    }

    private void registerGauges(ConfigController config) {
        registerGauge("config_version", () -> version(config.current()));
        registerGauge(
                "config_age_seconds",
                () ->
                        mStatus.configAge(mClock.instant())
                                .map(a -> a.toMillis() / MILLIS_PER_SECOND)
                                .orElse(Double.NaN));
        registerGauge("running_requests", () -> (double) mDrain.runningRequests());
        registerGauge("processor_seconds", Observability::processorSeconds);
        registerGauge("heap_used_bytes", Observability::heapUsedBytes);
    }

    private void registerGauge(String name, Gauge<Double> gauge) {
        mMetrics.gauge("daemon." + name, () -> gauge);
    }

    private static double version(Deployment deployment) {
        return deployment.version();
    }

    private static double processorSeconds() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime()
                / NANOS_PER_SECOND;
    }

    private static double heapUsedBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
