package io.bilberrygrade.serving.http;

import com.google.common.primitives.Ints;
import io.bilberrygrade.serving.json.Mappers;
import io.bilberrygrade.serving.report.ReportController;
import io.bilberrygrade.serving.report.StatusReporter;
import io.bilberrygrade.serving.settings.OperatorCredential;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.Optional;

/** HTTP API for status and reports, protected by the operators' credential. */
public final class OperatorApi {
    private static final String PATH = "/v1/operator/";
    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_PERIOD_MINUTES = 60;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_UNAUTHORIZED = 401;
    private static final int HTTP_INTERNAL_ERROR = 500;

    private final Optional<OperatorCredential> mCredential;
    private final StatusReporter mStatus;
    private final ReportController mReports;
    private final InstantSource mClock;

    /** Creates the API; without a credential it rejects every call. */
    public OperatorApi(
            Optional<OperatorCredential> credential,
            StatusReporter status,
            ReportController reports,
            InstantSource clock) {
        mCredential = credential;
        mStatus = status;
        mReports = reports;
        mClock = clock;
    }

    /** Adds the routes. */
    public void mount(Router router) {
        router.get(PATH + "*").handler(this::authenticate);
        router.get(PATH + "status").handler(c -> answer(c, mStatus.status(mClock.instant())));
        router.get(PATH + "report").handler(this::report);
    }

    private void authenticate(RoutingContext context) {
        String header = context.request().getHeader("Authorization");
        boolean known =
                header != null
                        && header.startsWith(BEARER)
                        && mCredential
                                .filter(c -> c.matches(header.substring(BEARER.length())))
                                .isPresent();
        if (known) {
            context.next();
        } else {
            context.response().setStatusCode(HTTP_UNAUTHORIZED).end("operators only\n");
        }
    }

    private void report(RoutingContext context) {
        String text = context.request().getParam("minutes");
        Integer minutes = text == null ? (Integer) DEFAULT_PERIOD_MINUTES : Ints.tryParse(text);
        if (minutes == null || minutes < 1 || minutes > ReportController.MAX_PERIOD_MINUTES) {
            context.response()
                    .setStatusCode(HTTP_BAD_REQUEST)
                    .end("minutes: 1 to " + ReportController.MAX_PERIOD_MINUTES + "\n");
            return;
        }
        mReports.fleetReport(minutes, mClock.instant())
                .subscribe()
                .with(
                        r -> answer(context, r),
                        e -> context.response().setStatusCode(HTTP_INTERNAL_ERROR).end());
    }

    private static void answer(RoutingContext context, Object document) {
        try {
            context.response()
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(Mappers.JSON.writeValueAsBytes(document)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
