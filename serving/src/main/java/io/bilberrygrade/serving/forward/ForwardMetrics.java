package io.bilberrygrade.serving.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.serving.event.ContentionEvent;
import io.bilberrygrade.serving.event.Event;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.ForwardEvent;
import io.bilberrygrade.serving.event.RoomEvent;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Derives request metrics from the logged events, so that metrics and log lines always agree. The
 * set of series doesn't depend on what callers send.
 */
final class ForwardMetrics implements EventLog {
    private final MetricRegistry mRegistry;
    private final EventLog mNext;

    ForwardMetrics(MetricRegistry registry, EventLog next) {
        mRegistry = registry;
        mNext = next;
    }

    @Override
    public void record(Event event) {
        switch (event) {
            case ForwardEvent forward -> count(forward);
            case RoomEvent.DataCentreEvacuation e ->
                    mRegistry.counter("evacuations." + e.change()).inc();
            case RoomEvent.EndpointColdness c ->
                    mRegistry
                            .counter("daemon.endpoints_" + (c.cold() ? "cold" : "warm") + "_total")
                            .inc();
            case RoomEvent.SendStopped s ->
                    mRegistry.counter("daemon.evacuated_sends_stopped_total").inc();
            case ContentionEvent.RequestRefused r -> countAdmission(r.cause());
            case ContentionEvent.RequestAdmitted a -> countAdmission(a.cause());
            default -> {}
        }
        mNext.record(event);
    }

    private void countAdmission(String cause) {
        mRegistry.counter("admissions." + metricName(cause)).inc();
    }

    private void count(ForwardEvent event) {
        switch (event) {
            case ForwardEvent.Accepted a -> mRegistry.counter("daemon.accepted_total").inc();
            case ForwardEvent.Sent s -> mRegistry.counter("daemon.sendings_total").inc();
            case ForwardEvent.AttemptFailed f ->
                    mRegistry.counter("attempts." + metricName(f.delivery())).inc();
            case ForwardEvent.Answered a -> answered(a);
            case ForwardEvent.NotServed n -> {
                String kind = n.promise().equals("not-run") ? "refusals." : "unknowns.";
                mRegistry.counter(kind + metricName(n.reason())).inc();
            }
            case ForwardEvent.AnswerCut c ->
                    mRegistry.counter("answers_cut." + metricName(c.reason())).inc();
            case ForwardEvent.CallerGone g -> mRegistry.counter("daemon.callers_gone_total").inc();
            case ForwardEvent.AggregatorChanged a ->
                    mRegistry.counter("daemon.aggregator_changes_total").inc();
            case ForwardEvent.InstanceSlow s ->
                    mRegistry
                            .counter(s.slow() ? "daemon.slow_total" : "daemon.slow_ended_total")
                            .inc();
            case ForwardEvent.StoreLost l -> mRegistry.counter("daemon.store_lost_total").inc();
            default -> {}
        }
    }

    private void answered(ForwardEvent.Answered answer) {
        mRegistry.counter("daemon.answered_total").inc();
        if (answer.events() > 0) {
            mRegistry.histogram("daemon.first_event_millis").update(answer.firstMillis());
        }
        mRegistry.histogram("daemon.answer_millis").update(answer.millis());
    }

    /** Registers a gauge that is read on each scrape. */
    void registerGauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        mRegistry.register("daemon." + name, gauge);
    }

    private static String metricName(String constant) {
        return constant.toLowerCase(Locale.ROOT);
    }
}
