package io.bilberrygrade.serving.forward;

import io.bilberrygrade.core.exchange.FleetView;
import java.time.Duration;

/** Gauges of a forwarding daemon's state, read on each scrape. */
record ForwardGauges(ForwardContext context, RateLimitExchange rateLimits, FleetView fleet) {
    private static final double PERCENT = 100;

    /** Registers the gauges. */
    void register(ForwardMetrics metrics) {
        metrics.registerGauge(
                "config_version", () -> context.state().config().map(c -> c.version()).orElse(0L));
        metrics.registerGauge("store_era", context.state()::era);
        metrics.registerGauge(
                "confirmed_ago_millis",
                () -> context.state().confirmationAge().map(Duration::toMillis).orElse(-1L));
        metrics.registerGauge(
                "rate_limited_endpoints",
                () -> context.tracker().rateLimits().limitedRuns().size());
        metrics.registerGauge("rate_permits_used_total", () -> context.tracker().permits().used());
        metrics.registerGauge(
                "rate_limit_share_percent",
                () -> Math.round(PERCENT * rateLimits.fraction(context.clocks().now())));
        metrics.registerGauge("answer_bytes_held", context.client().answerMemory()::heldBytes);
        metrics.registerGauge(
                "answers_ended_for_memory_total", context.client().answerMemory()::endedCount);
        metrics.registerGauge("cold_endpoints", () -> context.tracker().cold().runs().size());
        metrics.registerGauge(
                "evacuated_data_centres", () -> context.state().endpoints().evacuated().size());
        metrics.registerGauge(
                "endpoint_crashes_known", () -> context.quarantine().evidence().records().size());
        metrics.registerGauge("peers", () -> fleet.size(context.clocks().now()) - 1);
    }
}
