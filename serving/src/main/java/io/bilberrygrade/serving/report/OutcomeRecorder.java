package io.bilberrygrade.serving.report;

import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.report.ClassCounts;
import io.bilberrygrade.core.report.ReportHistory;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.http.RelayCounts;
import io.bilberrygrade.serving.http.RequestObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Counts the outcome of each request, and detects requests with no outcome or with two. */
public final class OutcomeRecorder implements RequestObserver {
    /** Class of requests that were refused before they were classified. */
    public static final WorkClassId UNCLASSIFIED = new WorkClassId("unclassified");

    private static final Duration LOSS_GRACE = Duration.ofSeconds(5);

    private final ReportHistory mHistory;
    private final Map<RequestId, Exchange> mRunning = new HashMap<>();
    private final Map<RequestId, Exchange> mLost = new HashMap<>();

    /** Creates a recorder that adds to the given counts. */
    public OutcomeRecorder(ReportHistory history) {
        mHistory = history;
    }

    @Override
    public void onStarted(Exchange exchange) {
        mRunning.put(exchange.id(), exchange);
    }

    @Override
    public void onEnded(Exchange exchange, RelayCounts relayCounts, Outcome outcome, Instant now) {
        if (mRunning.remove(exchange.id()) != null) {
            record(exchange, counts(exchange, relayCounts, outcome, now), now);
            record(
                    exchange,
                    ClassCounts.found(truncatedAnswers(exchange, relayCounts, outcome), 0),
                    now);
        } else if (mLost.remove(exchange.id()) == null) {
            record(exchange, ClassCounts.found(0, 1), now);
        }
        if (relayCounts.gaps() + relayCounts.repeats() > 0) {
            record(exchange, ClassCounts.found(relayCounts.gaps(), relayCounts.repeats()), now);
        }
    }

    @Override
    public void onRefused(RequestId id, Outcome outcome, Instant now) {
        mHistory.record(UNCLASSIFIED, ClassCounts.refused(1), now);
    }

    /**
     * Counts requests as lost that have no outcome when the grace period after their deadline ends.
     */
    public void detectLosses(Instant now) {
        mRunning.values().stream()
                .filter(e -> isOverdue(e, now))
                .toList()
                .forEach(
                        e -> {
                            mRunning.remove(e.id());
                            mLost.put(e.id(), e);
                            record(e, ClassCounts.found(1, 0), now);
                        });
    }

    private static boolean isOverdue(Exchange exchange, Instant now) {
        return exchange.findDeadline().filter(d -> now.isAfter(d.plus(LOSS_GRACE))).isPresent();
    }

    private static long truncatedAnswers(
            Exchange exchange, RelayCounts relayCounts, Outcome outcome) {
        boolean endedShort =
                exchange.call() instanceof Call.Completion
                        && outcome instanceof Outcome.Done d
                        && d.tokens() > relayCounts.tokens();
        return endedShort ? 1 : 0;
    }

    private static ClassCounts counts(
            Exchange exchange, RelayCounts relayCounts, Outcome outcome, Instant now) {
        double worth = exchange.headers().worth();
        return switch (outcome) {
            case Outcome.Done d ->
                    ClassCounts.done(isInsideTarget(exchange, relayCounts, now), worth);
            case Outcome.NotRun n ->
                    wasAttempted(n) ? ClassCounts.failed(worth) : ClassCounts.refused(worth);
            case Outcome.Unknown u -> ClassCounts.unknown(worth);
        };
    }

    private static boolean isInsideTarget(Exchange exchange, RelayCounts relayCounts, Instant now) {
        Duration time = Duration.between(exchange.arrival(), relayCounts.firstToken().orElse(now));
        return exchange.findWorkClass()
                .filter(c -> time.compareTo(c.timeToFirstToken()) <= 0)
                .isPresent();
    }

    private static boolean wasAttempted(Outcome.NotRun outcome) {
        return switch (outcome.reason()) {
            case ENDPOINT_REFUSED, ENDPOINT_FAILED, NO_ENDPOINT, CALLER_GONE -> true;
            case DEADLINE_PAST -> outcome.step() != Step.DEADLINE;
            default -> false;
        };
    }

    private void record(Exchange exchange, ClassCounts counts, Instant now) {
        if (!counts.equals(ClassCounts.NONE)) {
            WorkClassId id = exchange.findWorkClass().map(c -> c.id()).orElse(UNCLASSIFIED);
            mHistory.record(id, counts, now);
        }
    }
}
