package io.bilberrygrade.serving.report;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.WorkClass;
import io.bilberrygrade.core.identity.RequestId;
import io.bilberrygrade.core.identity.WorkClassId;
import io.bilberrygrade.core.report.ClassCounts;
import io.bilberrygrade.core.report.MinuteCounts;
import io.bilberrygrade.core.report.ReportHistory;
import io.bilberrygrade.core.request.Outcome;
import io.bilberrygrade.core.request.Prompt;
import io.bilberrygrade.core.request.Reason;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.filter.Call;
import io.bilberrygrade.serving.filter.CallerHeaders;
import io.bilberrygrade.serving.filter.Exchange;
import io.bilberrygrade.serving.http.CompletionBody;
import io.bilberrygrade.serving.http.RelayCounts;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the counts of each outcome and the detection of losses and repeats. */
final class OutcomeRecorderTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final WorkClassId CLASS = new WorkClassId("short");
    private static final double WORTH = 3;

    private final ReportHistory mHistory = new ReportHistory();
    private final OutcomeRecorder mRecorder = new OutcomeRecorder(mHistory);

    @ParameterizedTest
    @CsvSource({"999, 1", "1000, 1", "1001, 0"})
    void countsTargetByFirstToken(int millis, long inside) {
        Exchange exchange = exchange("1");
        mRecorder.onStarted(exchange);
        mRecorder.onEnded(
                exchange,
                new RelayCounts(Optional.of(START.plusMillis(millis)), 5, 0, 0),
                new Outcome.Done(5),
                START.plusSeconds(9));

        assertThat(counts().insideTarget()).isEqualTo(inside);
        assertThat(counts().worthInTime()).isEqualTo(WORTH);
        assertThat(counts().losses()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "ADMISSION, OVERLOADED, refused",
        "ROUTE, DEADLINE_UNREACHABLE, refused",
        "DEADLINE, DEADLINE_PAST, refused",
        "DISPATCH, DEADLINE_PAST, failed",
        "ROUTE, NO_ENDPOINT, failed",
        "DISPATCH, ENDPOINT_REFUSED, failed",
    })
    void distinguishesRefusedFromFailed(Step step, Reason reason, String counted) {
        end(exchange("1"), RelayCounts.NOTHING, Outcome.notRun(step, reason, ""));

        assertThat(counts())
                .isEqualTo(
                        counted.equals("refused")
                                ? ClassCounts.refused(WORTH)
                                : ClassCounts.failed(WORTH));
    }

    @Test
    void countsTruncatedAnswerAsLoss() {
        end(exchange("1"), relayCounts(4, 0, 0), new Outcome.Done(5));

        assertThat(counts().losses()).isEqualTo(1);
    }

    @Test
    void countsGapsAndRepeatedTokens() {
        end(exchange("1"), relayCounts(5, 1, 2), new Outcome.Done(5));

        assertThat(counts().losses()).isEqualTo(1);
        assertThat(counts().repeats()).isEqualTo(2);
    }

    @Test
    void countsSecondOutcomeAsRepeat() {
        Exchange exchange = exchange("1");
        end(exchange, relayCounts(5, 0, 0), new Outcome.Done(5));
        mRecorder.onEnded(exchange, relayCounts(5, 0, 0), new Outcome.Done(5), START);

        assertThat(counts().requests()).isEqualTo(1);
        assertThat(counts().repeats()).isEqualTo(1);
    }

    @Test
    void countsRequestWithoutOutcomeOnceAsLoss() {
        Exchange exchange = exchange("1");
        exchange.limit(START.plusSeconds(10));
        mRecorder.onStarted(exchange);

        mRecorder.detectLosses(START.plusSeconds(15));
        assertThat(mHistory.since(Duration.ofHours(1), START)).isEmpty();

        mRecorder.detectLosses(START.plusSeconds(16));
        mRecorder.detectLosses(START.plusSeconds(17));
        assertThat(counts()).isEqualTo(ClassCounts.found(1, 0));
    }

    private void end(Exchange exchange, RelayCounts relayCounts, Outcome outcome) {
        mRecorder.onStarted(exchange);
        mRecorder.onEnded(exchange, relayCounts, outcome, START.plusMillis(100));
    }

    private static RelayCounts relayCounts(int tokens, int gaps, int repeats) {
        return new RelayCounts(Optional.of(START), tokens, gaps, repeats);
    }

    private ClassCounts counts() {
        ImmutableList<MinuteCounts> minutes =
                mHistory.since(Duration.ofHours(1), START.plusSeconds(60));
        assertThat(minutes).hasSize(1);
        return minutes.get(0).counts().get(CLASS);
    }

    private static Exchange exchange(String id) {
        Prompt prompt = new Prompt(1_000, 5, ImmutableLongArray.of());
        Exchange exchange =
                new Exchange(
                        new RequestId(id),
                        new Call.Completion(
                                new CompletionBody(Optional.empty(), prompt, true, 0, 0)),
                        new CallerHeaders(
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                WORTH,
                                Optional.empty()),
                        Buffer.buffer(),
                        START,
                        Deployment.EMPTY,
                        new DiscardingSink());
        exchange.setWorkClass(new WorkClass(CLASS, Duration.ofSeconds(1), 1));
        return exchange;
    }
}
