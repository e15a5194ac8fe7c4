package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.bilberrygrade.core.ratelimit.RateLimitStatement;
import io.bilberrygrade.serving.peer.RateLimitEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ReceivedAgesTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    // Guards against an age of a peer's statement that can't be encoded again, and against one in
    // the future, which would replace all later ones.
    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "1500, 1500",
        "-5, 0",
        "-9223372036854775808, 0",
        "9223372036854775807, 31536000000"
    })
    void ageOfRateLimitIsBounded(long ageMillis, long expectedMillis) {
        RateLimitEntry entry = new RateLimitEntry("a", 1, 5, ageMillis);
        List<RateLimitStatement> statements = RateLimitCodec.statements(List.of(entry), NOW);
        RateLimitStatement statement = Iterables.getOnlyElement(statements);
        assertThat(Duration.between(statement.statedAt(), NOW))
                .isEqualTo(Duration.ofMillis(expectedMillis));
        RateLimitEntry encoded =
                Iterables.getOnlyElement(RateLimitCodec.entries(ImmutableList.of(statement), NOW));
        assertThat(encoded.ageMillis()).isEqualTo(expectedMillis);
    }
}
