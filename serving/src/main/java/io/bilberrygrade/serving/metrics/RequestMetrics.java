package io.bilberrygrade.serving.metrics;

import com.codahale.metrics.MetricRegistry;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.report.SlowdownBaseline;
import io.bilberrygrade.core.request.LengthBand;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.serving.event.EventLog;
import io.bilberrygrade.serving.event.RequestEvent;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.http.RelayCounts;
import io.bilberrygrade.serving.http.RequestObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Counts, times and logs the outcomes of requests. */
public final class RequestMetrics implements RequestObserver {
    private static final double THOUSANDTHS = 1_000;
    private static final String UNCLASSIFIED = "unclassified";
    private static final String SERVICE = "service";

    private final MetricRegistry mRegistry;
    private final EventLog mEvents;
    private final SlowdownBaseline mBaseline = new SlowdownBaseline();
    private final Set<RequestId> mOverlappedLong = new HashSet<>();
    private int mRunningLong;

    /** Creates an observer that updates the given registry. */
    public RequestMetrics(MetricRegistry registry, EventLog events) {
        mRegistry = registry;
        mEvents = events;
    }

    @Override
    public void onStarted(Exchange exchange) {
        Optional<LengthBand> band = band(exchange);
        if (band.filter(LengthBand::isLong).isPresent()) {
            mRunningLong++;
        } else if (mRunningLong > 0 && band.filter(LengthBand::isShort).isPresent()) {
            mOverlappedLong.add(exchange.id());
        }
    }

    @Override
    public void onEnded(Exchange exchange, RelayCounts relayCounts, Outcome outcome, Instant now) {
        Optional<LengthBand> band = band(exchange);
        if (band.filter(LengthBand::isLong).isPresent()) {
            mRunningLong--;
        }
        boolean overlappedLong = mOverlappedLong.remove(exchange.id());
        relayCounts
                .firstToken()
                .map(t -> Duration.between(exchange.arrival(), t))
                .ifPresent(t -> firstToken(exchange, band, t, overlappedLong));
        count(workClass(exchange), outcome);
        log(exchange, outcome, now);
    }

    @Override
    public void onRefused(RequestId id, Outcome outcome, Instant now) {
        count(UNCLASSIFIED, outcome);
        logFailure(id, outcome);
    }

    private void firstToken(
            Exchange exchange, Optional<LengthBand> band, Duration time, boolean overlappedLong) {
        String labels = "." + workClass(exchange) + "." + label(band);
        mRegistry.timer("time_to_first_token" + labels).update(time);
        exchange.findWorkClass()
                .ifPresent(
                        c ->
                                mRegistry
                                        .histogram("slowdown_to_target" + labels)
                                        .update(thousandths(time, c.timeToFirstToken())));
        if (band.filter(LengthBand::isShort).isEmpty()) {
            return;
        }
        if (overlappedLong) {
            mBaseline
                    .slowdown(time)
                    .ifPresent(
                            s ->
                                    mRegistry
                                            .histogram("slowdown.of_short")
                                            .update(Math.round(s * THOUSANDTHS)));
        } else {
            mBaseline.recordWithoutOverlap(time);
        }
    }

    private static long thousandths(Duration time, Duration target) {
        return Math.round(time.toNanos() * THOUSANDTHS / target.toNanos());
    }

    private void count(String workClass, Outcome outcome) {
        switch (outcome) {
            case Outcome.Done d -> counter("outcomes." + workClass + ".done");
            case Outcome.NotRun n -> {
                counter("outcomes." + workClass + ".not_run");
                counter("refusals." + label(n.reason()));
            }
            case Outcome.Unknown u -> {
                counter("outcomes." + workClass + ".unknown");
                counter("unknowns." + label(u.reason()));
            }
        }
    }

    private void counter(String name) {
        mRegistry.counter(name).inc();
    }

    private void log(Exchange exchange, Outcome outcome, Instant now) {
        if (outcome instanceof Outcome.Done d) {
            mEvents.record(
                    new RequestEvent.Done(
                            exchange.id().value(),
                            exchange.team().id().value(),
                            workClass(exchange),
                            d.tokens(),
                            Duration.between(exchange.arrival(), now).toMillis()));
        } else {
            logFailure(exchange.id(), outcome);
        }
    }

    private void logFailure(RequestId id, Outcome outcome) {
        switch (outcome) {
            case Outcome.NotRun n ->
                    mEvents.record(
                            new RequestEvent.NotRun(
                                    id.value(), n.step().name(), n.reason().name(), n.detail()));
            case Outcome.Unknown u ->
                    mEvents.record(
                            new RequestEvent.Unknown(
                                    id.value(), u.step().name(), u.reason().name(), u.detail()));
            case Outcome.Done d -> {}
        }
    }

    private static Optional<LengthBand> band(Exchange exchange) {
        return exchange.call() instanceof Call.Completion c
                ? Optional.of(LengthBand.of(c.body().prompt().tokens()))
                : Optional.empty();
    }

    private static String workClass(Exchange exchange) {
        return exchange.findWorkClass()
                .map(c -> c.id().value().replace('.', '_'))
                .orElse(UNCLASSIFIED);
    }

    private static String label(Optional<LengthBand> band) {
        return band.map(LengthBand::label).orElse(SERVICE);
    }

    private static String label(Reason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}
