package io.bilberrygrade.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.bilberrygrade.core.identity.ServiceId;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
    private static final RouteTable TABLE =
            new RouteTable(
                    ImmutableList.of(
                            route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/")));

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.IDEMPOTENT,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Optional.empty(),
                2,
                false,
                ImmutableList.of(
                        new WeightedService(new ServiceId("s1"), 3),
                        new WeightedService(new ServiceId("s2"), 1)));
    }

    @ParameterizedTest
    @CsvSource({
        "a.example,/x/z,short",
        "a.example,/x/y/z,long",
        "a.example,/x/y,short",
        "A.Example:8080,/x/y/z?q=/x/,long",
        "b.example,/x/y/z,other"
    })
    void selectsLongestPrefixOfHost(String host, String path, String route) {
        assertThat(TABLE.find(host, path).map(Route::name)).contains(route);
    }

    @ParameterizedTest
    @CsvSource({"a.example,/", "a.example,/x", "c.example,/x/z", "a.example,/?/x/"})
    void returnsEmptyForUnmatchedRequest(String host, String path) {
        assertThat(TABLE.find(host, path)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0,s1", "0.74,s1", "0.76,s2", "0.99,s2"})
    void servicesAreDrawnByWeight(double draw, String service) {
        assertThat(TABLE.routes().get(0).service(draw)).isEqualTo(new ServiceId(service));
    }

    @Test
    void streamIsRepeatableOnlyIfResumable() {
        Route r = TABLE.routes().get(0);
        assertThat(r.repeatable()).isTrue();
        assertThat(of(RouteKind.NON_IDEMPOTENT, true).repeatable()).isFalse();
        assertThat(of(RouteKind.STREAMING, false).repeatable()).isFalse();
        assertThat(of(RouteKind.STREAMING, true).repeatable()).isTrue();
    }

    private static Route of(RouteKind kind, boolean resumable) {
        Route r = TABLE.routes().get(0);
        return new Route(
                r.name(),
                r.host(),
                r.prefix(),
                kind,
                resumable,
                r.timeout(),
                r.goal(),
                r.gapGoal(),
                r.maxAttempts(),
                r.open(),
                r.services());
    }
}
