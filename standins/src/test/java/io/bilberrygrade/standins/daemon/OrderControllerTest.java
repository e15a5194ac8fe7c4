package io.bilberrygrade.standins.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.config.Deployment;
import io.bilberrygrade.core.config.Endpoint;
import io.bilberrygrade.core.config.EndpointKind;
import io.bilberrygrade.core.config.Model;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.EndpointId;
import io.bilberrygrade.core.identity.ModelId;
import io.bilberrygrade.serving.controller.OrderController;
import io.bilberrygrade.serving.engine.HttpModelEngine;
import io.bilberrygrade.serving.http.HttpCalls;
import io.bilberrygrade.serving.time.Timers;
import io.bilberrygrade.serving.wire.OrderDocument;
import io.bilberrygrade.serving.wire.OrderKind;
import io.bilberrygrade.standins.engine.EngineSettings;
import io.bilberrygrade.standins.engine.StandInEngine;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that an issuer that missed a newer configuration can't revert an engine to an older one.
 */
final class OrderControllerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ModelId MODEL = new ModelId("test-model");
    private static final long NEWER_TOKEN = 5;
    private static final long OLDER_TOKEN = 4;

    private final Vertx mVertx = Vertx.vertx();
    private final HttpModelEngine mEngine =
            new HttpModelEngine(new HttpCalls(mVertx), InstantSource.system());

    @AfterEach
    void stop() {
        mVertx.closeAndAwait();
    }

    @ParameterizedTest
    @CsvSource({
        "true,5,2026-01-01T00:00:00Z",
        "false,1,2026-01-01T00:00:00Z",
        "true,5,2026-01-01T00:00:00.5007Z",
        "false,1,2026-01-01T00:00:00.5007Z",
        "false,1,2026-01-01T00:00:01.0007Z",
    })
    void issuesNoOrdersOfOlderVersions(boolean fenced, long expectedVersion, Instant now) {
        Endpoint endpoint = engine();
        load(endpoint, 5, NEWER_TOKEN);

        controller(endpoint, deployment(endpoint, OLDER_TOKEN, 1), fenced, new MillisClock(now))
                .round()
                .await()
                .atMost(TIMEOUT);

        assertThat(modelVersion(endpoint)).isEqualTo(expectedVersion);
    }

    @Test
    void refusesOldTokensAtTheEngine() {
        Endpoint endpoint = engine();
        load(endpoint, 5, NEWER_TOKEN);

        load(endpoint, 1, OLDER_TOKEN);

        assertThat(modelVersion(endpoint)).isEqualTo(5);
    }

    private Endpoint engine() {
        StandInEngine engine =
                StandInEngine.start(mVertx, EngineSettings.defaults(MODEL.value()))
                        .await()
                        .atMost(TIMEOUT);
        return new Endpoint(
                new EndpointId("engine-1"),
                new DataCentreId("dc-1"),
                new Address("127.0.0.1", engine.port()),
                new EndpointKind.Engine(ImmutableSet.of(MODEL), 400_000, true));
    }

    private void load(Endpoint endpoint, long version, long token) {
        OrderDocument order =
                new OrderDocument(OrderKind.LOAD_MODEL, MODEL.value(), null, version, "", token);
        mEngine.order(endpoint, order).await().atMost(TIMEOUT);
    }

    private long modelVersion(Endpoint endpoint) {
        return mEngine.state(endpoint).await().atMost(TIMEOUT).models().get(0).version();
    }

    private OrderController controller(
            Endpoint endpoint, Deployment deployment, boolean fenced, MillisClock clock) {
        return new OrderController(
                mEngine,
                () -> deployment,
                id -> id.equals(endpoint.id()),
                fenced,
                clock,
                clock,
                event -> {});
    }

    /** Clock that its own timers advance by whole milliseconds, as real timers do. */
    private static final class MillisClock implements InstantSource, Timers {
        private Instant mNow;

        MillisClock(Instant now) {
            mNow = now;
        }

        @Override
        public Instant instant() {
            return mNow;
        }

        @Override
        public Uni<Void> after(Duration delay) {
            mNow = mNow.plusMillis(delay.toMillis());
            return Uni.createFrom().voidItem();
        }
    }

    private static Deployment deployment(Endpoint endpoint, long version, long modelVersion) {
        return new Deployment(
                version,
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableMap.of(MODEL, new Model(MODEL, modelVersion, ImmutableSet.of())),
                ImmutableMap.of(endpoint.id(), endpoint));
    }
}
